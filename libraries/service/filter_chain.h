// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <service/request_context.h>

namespace postpaddle::service {

/// One step of a request's way; may answer instead of letting the request go on.
using filter = filter_result (*)(request_context&, wire::yield_context);

/// Finds the organisation and what the request is for: 400, 401, 404.
[[nodiscard]] filter_result authenticate(request_context& context, wire::yield_context yield);
/// Refuses requests under which upstreams end: 503.
[[nodiscard]] filter_result check_quarantine(request_context& context, wire::yield_context yield);
/// Holds the organisation's limits: 413, 429.
[[nodiscard]] filter_result check_limits(request_context& context, wire::yield_context yield);
/// Sees to it that a not-repeatable request runs at most once: 400, 409, 422, 503.
[[nodiscard]] filter_result check_repeatability(request_context& context, wire::yield_context yield);
/// Hands the request to the decision: 503.
[[nodiscard]] filter_result decide(request_context& context, wire::yield_context yield);
/// Carries the answer back.
[[nodiscard]] filter_result relay(request_context& context, wire::yield_context yield);

/// Runs the filters in order, answers what they refuse, and settles counts and claims.
void run_filters(request_context& context, wire::yield_context yield);

} // namespace postpaddle::service
