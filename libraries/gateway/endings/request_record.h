// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_request.h>

namespace postpaddle::gateway {

/// Counter of the requests that were read whole and ended without a whole response, by cause.
inline constexpr const char* lost_answers_metric = "requests_without_answer_total";

/// What the request is being delayed by now, for operators.
[[nodiscard]] const char* phase_of(const gateway_request& request);

/// Why a request that ends now has no whole response; null if it has one.
[[nodiscard]] const char* cause_without_answer(const gateway_request& request, request_ending ending);

/// Logs and counts how the request ended, once. `status` is of a refusal that was not sent to any upstream.
void record_request_end(gateway_request& request, request_ending ending, int status = 0);

/// Counts why a caller's connection ended, and whether a request was partly read.
void count_connection_end(gateway_state& state, const wire::caller_connection& connection);

} // namespace postpaddle::gateway
