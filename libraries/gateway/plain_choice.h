// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_request.h>

namespace postpaddle::gateway {

/// Whether requests to this request's service are admitted by the load of its upstreams.
[[nodiscard]] bool is_admitted_by_load(const gateway_request& request);

/// Decides about a plain request with `ahead` requests before it in this host's queue. Keeps the facts for
/// the log and, if it is refused, the `Retry-After`.
[[nodiscard]] decision::plain_decision decide_by_load(gateway_request& request, int ahead);

/// Position of the request in its service's queue after that decision.
[[nodiscard]] decision::queue_position queue_position_of(const gateway_request& request,
                                                         const decision::plain_decision& decision);

/// Counts the final decision on a request, or that it began to wait, by rank and reason.
void count_decision(const gateway_request& request, const decision::plain_decision& decision);

} // namespace postpaddle::gateway
