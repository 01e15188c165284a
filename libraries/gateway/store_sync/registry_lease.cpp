// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/store_sync/registry_lease.h>

#include <gateway/endings/request_drain.h>

#include <algorithm>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;

/// Of the bound, left for a send that follows the last look at the lease: a connection and the way there.
constexpr double use_fraction = 0.1;
constexpr base::duration min_use_time = 200ms;
constexpr base::duration poll_interval = 5ms;

host::replica_lease_options options_of(const gateway_state& state) {
    const std::chrono::milliseconds bound = registry_bound(state);
    const base::duration part = base::scaled(bound, use_fraction);
    const base::duration use_time = std::min<base::duration>(bound / 2, std::max(part, min_use_time));
    return {.bound = bound, .use_time = std::chrono::ceil<std::chrono::milliseconds>(use_time)};
}

/// Whether the lease, unless it was renewed, ran out longer ago than a send may take after the last look at
/// it.
bool is_use_time_over(const gateway_state& state) {
    const host::replica_lease_options options = options_of(state);
    return state.clock->now() >= host::lease_end(options, state.registry_known_until) + options.use_time;
}

} // namespace

host::lease_state registry_lease_state(const gateway_state& state) {
    const host::replica_lease_options options = options_of(state);
    const base::time_point now = state.clock->now();
    // Counting the hosts takes time, so only if it matters.
    if (now < host::lease_end(options, state.registry_known_until))
        return host::lease_state::held;
    return host::state_of(options, state.registry_doubt,
                          {.known_until = state.registry_known_until,
                           .is_own_read_failing = state.is_registry_read_failing,
                           .other_hosts = count_other_hosts(state),
                           .now = now});
}

bool is_registry_uninformed(const gateway_state& state) {
    return host::is_uninformed(options_of(state), state.registry_doubt, state.process->name,
                               state.clock->now());
}

bool may_use_registry(const gateway_state& state) {
    return registry_lease_state(state) != host::lease_state::lapsed;
}

bool await_registry_lease(const gateway_request& request, base::duration max_wait,
                          wire::yield_context yield) {
    const gateway_state& state = *request.state;
    if (may_use_registry(state))
        return true;
    state.metrics->count("registry_lease_waits_total");
    const base::time_point deadline =
        state.clock->now() + std::min<base::duration>(max_wait, options_of(state).use_time);
    while (!is_use_time_over(state) && state.clock->now() < deadline && !is_wait_over(request)) {
        if (state.on_registry_doubted)
            state.on_registry_doubted();
        pause_request(request, poll_interval, yield);
        if (may_use_registry(state))
            return true;
    }
    return false;
}

bool is_registry_lost(const gateway_state& state) {
    return is_use_time_over(state) && !may_use_registry(state);
}

} // namespace postpaddle::gateway
