// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/caller_bounds.h>

#include <gateway/collected_bodies.h>

namespace postpaddle::gateway {

wire::connection_bounds caller_bounds(const gateway_state& state) {
    wire::connection_bounds bounds;
    if (state.collected != nullptr)
        bounds.collected = &state.collected->requests;
    const auto limits = host::limits_in_force(state.caller_limits, state.clock->now());
    if (!limits)
        return bounds;
    bounds.header_bytes = limits->header_bytes;
    bounds.body_bytes = limits->body_bytes;
    bounds.header_timeout = limits->header_timeout;
    bounds.request_timeout = limits->header_timeout + limits->idle_timeout;
    bounds.idle_timeout = limits->idle_timeout;
    return bounds;
}

} // namespace postpaddle::gateway
