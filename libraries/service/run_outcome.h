// SPDX-License-Identifier: BSD-2-Clause
// NOTE: This header is read as C++17 too; see CMakeLists.txt.
#pragma once

namespace postpaddle::service {

/// What a caller is told about whether its request ran.
enum class run_outcome {
    not_run, ///< No upstream can have begun it.
    unknown, ///< It was sent and no word came.
    failed,  ///< It ran, at least in part, and failed.
};

} // namespace postpaddle::service
