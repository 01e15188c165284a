// SPDX-License-Identifier: BSD-2-Clause
#pragma once

namespace postpaddle::decision {

/// How an attempt at an upstream ended.
enum class attempt_result {
    answered,      ///< A complete response, including error responses.
    server_error,  ///< A complete response with a 5xx status, for work that the upstream began.
    not_connected, ///< No connection: nothing was sent.
    not_run,       ///< The upstream responded that it did not and will not run the request.
    broken,        ///< Sent, but the response is missing, truncated or belongs to another request.
    late,          ///< Sent, but there was no response in time.
};

/// Purpose of an attempt.
enum class attempt_kind {
    run,     ///< To answer the request.
    prefill, ///< To prefill and retain its prompt.
};

/// Text for logs.
[[nodiscard]] const char* to_text(attempt_result result);

} // namespace postpaddle::decision
