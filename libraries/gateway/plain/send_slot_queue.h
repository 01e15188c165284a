// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_request.h>

namespace postpaddle::gateway {

/// Decides about a request by the load of its upstreams, behind the requests that wait ahead of it.
[[nodiscard]] decision::plain_decision decide_in_queue(gateway_request& request);

/// Returns whether a new request at that position would overtake a queued one that is due to be sent.
[[nodiscard]] bool would_overtake_queue(const gateway_request& request,
                                        const decision::queue_position& position);

/// Call when a response to this host shows that a request has ended: the head of the queue may take its place
/// before other hosts learn of it.
void did_end_plain_request(gateway_state& state, const std::string& service);

/// Waits in the queue of the request's service until it is its turn and an upstream may be sent it. Returns
/// false as soon as that is not expected in time; `time_until_slot` or `retry_delay` then tell when it is. A
/// request that may use fewer upstreams than others does not block those behind it. `decided` is the decision
/// that it waits, if there was one.
[[nodiscard]] bool await_send_slot(gateway_request& request, wire::yield_context yield,
                                   const std::optional<decision::plain_decision>& decided = std::nullopt);

} // namespace postpaddle::gateway
