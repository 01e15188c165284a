// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/streams/colocated_engine.h>

#include <decision/stream_rules.h>
#include <gateway/endings/request_drain.h>
#include <gateway/engine_slots/engine_slot.h>

#include <algorithm>
#include <utility>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;

/// Poll interval while waiting for room at a decode engine. Each poll looks at all engines.
constexpr base::duration room_poll_interval = 100ms;

} // namespace

std::optional<decision::engine_plan> await_colocated_engine(const gateway_request& request,
                                                            const decision::prompt_size& size, room_wait wait,
                                                            wire::yield_context yield) {
    gateway_state& state = *request.state;
    const base::time_point last_look = state.clock->now() + decision::idle_timeout(request.route->gap_target);
    bool has_waited = false;
    while (true) {
        // A send after the deadline would fail at once and count against a healthy engine.
        if (is_wait_over(request))
            return std::nullopt;
        auto plan = decision::choose_colocated(state.instances, choice_context_of(request),
                                               capacity_of(request), size, state.random);
        if (wait == room_wait::none || !plan || plan->has_room || state.clock->now() >= last_look)
            return plan;
        if (!std::exchange(has_waited, true))
            state.metrics->count("waits_for_decode_room_total");
        const base::duration until_last_look = last_look - state.clock->now();
        pause_request(request, std::min({room_poll_interval, until_last_look, time_left(request)}), yield);
    }
}

} // namespace postpaddle::gateway
