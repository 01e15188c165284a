// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <service/request_context.h>

namespace postpaddle::service {

/// A step of request processing. On an error, the caller receives it and the remaining steps are skipped.
using filter = filter_result (*)(request_context&, wire::yield_context);

/// Identifies the organisation and the kind of request. Fails with 400, 401 or 404.
[[nodiscard]] filter_result authenticate(request_context& context, wire::yield_context yield);
/// Rejects requests quarantined because upstreams exited while running them. Fails with 503.
[[nodiscard]] filter_result check_quarantine(request_context& context, wire::yield_context yield);
/// Enforces the organisation's limits. Fails with 413 or 429.
[[nodiscard]] filter_result check_limits(request_context& context, wire::yield_context yield);
/// Ensures that a non-repeatable request runs at most once. Fails with 400, 409, 422 or 503.
[[nodiscard]] filter_result check_repeatability(request_context& context, wire::yield_context yield);
/// Submits the request to the decision thread. Fails with 503.
[[nodiscard]] filter_result decide(request_context& context, wire::yield_context yield);
/// Sends the request upstream and relays the response to the caller.
[[nodiscard]] filter_result relay(request_context& context, wire::yield_context yield);

/// Runs the filters in order, responds to requests that a filter rejects, then releases the concurrency slot,
/// reports the outcome of the claim and records metrics.
void run_filters(request_context& context, wire::yield_context yield);

} // namespace postpaddle::service
