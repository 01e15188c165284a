// SPDX-License-Identifier: BSD-2-Clause
// NOTE: request_lifecycle.cpp includes this header and is compiled as C++17; see CMakeLists.txt.
#pragma once

namespace postpaddle::service {

/// Whether a request was executed, as reported to the caller.
enum class run_outcome {
    not_run, ///< No upstream can have started it.
    unknown, ///< It was sent to an upstream, which did not respond.
    failed,  ///< It was executed at least in part and failed.
};

} // namespace postpaddle::service
