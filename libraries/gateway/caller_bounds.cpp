// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/caller_bounds.h>

namespace postpaddle::gateway {

wire::connection_bounds caller_bounds(const gateway_state& state) {
    wire::connection_bounds bounds;
    const auto limits = host::limits_in_force(state.caller_limits, state.clock->now());
    if (limits) {
        bounds.header_bytes = limits->header_bytes;
        bounds.body_bytes = limits->body_bytes;
    }
    // Another host may forward such a request, whose head is then part of the body.
    bounds.reserved_body_bytes = bounds.header_bytes + bounds.body_bytes + max_forwarding_overhead;
    if (!limits)
        return bounds;
    bounds.header_timeout = limits->header_timeout;
    bounds.request_timeout = limits->header_timeout + limits->idle_timeout;
    bounds.idle_timeout = limits->idle_timeout;
    return bounds;
}

} // namespace postpaddle::gateway
