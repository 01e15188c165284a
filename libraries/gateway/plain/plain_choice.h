// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_request.h>

namespace postpaddle::gateway {

/// Whether requests to this request's service are admitted by the load of its upstreams.
[[nodiscard]] bool is_admitted_by_load(const gateway_request& request);

/// Upstreams of a service, as listed a short time ago.
[[nodiscard]] const std::vector<base::upstream_id>& plain_members_of(gateway_state& state,
                                                                     const std::string& service);

/// What would be decided about a plain request that has waited already. Records nothing.
[[nodiscard]] decision::plain_decision look_by_load(const gateway_request& request);

/// Decides about a plain request with the requests before it in this host's queue. Keeps the facts for the
/// log and, if it is refused, the `Retry-After`.
[[nodiscard]] decision::plain_decision decide_by_load(gateway_request& request,
                                                      const decision::ahead_counter& count_ahead);

/// Position in its service's queue of a request that can be in time up to that wait, see `plain_decision`.
[[nodiscard]] decision::queue_position queue_position_of(const gateway_request& request,
                                                         base::duration in_time);

/// Counts the final decision on a request, or that it began to wait, by rank and reason.
void count_decision(const gateway_request& request, const decision::plain_decision& decision);

} // namespace postpaddle::gateway
