// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/store_sync/registry_doubt.h>

#include <gateway/store_sync/registry_lease.h>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

/// How long the registry counts as unhealthy after a failed read. Entries may have expired meanwhile; live
/// instances re-register within about two seconds after the store recovers, and what is still missing then
/// has gone.
constexpr base::duration recovery_time = 3s;

} // namespace

host::outage_options outage_options_of(const gateway_state& state) {
    return {.window = recovery_time, .max_proof_age = registry_bound(state)};
}

decision::registry_condition registry_condition_of(const gateway_state& state) {
    const bool is_failing = host::was_store_away(state.registry_outage, outage_options_of(state),
                                                 count_other_hosts(state), state.clock->now());
    return is_failing ? decision::registry_condition::failing : decision::registry_condition::healthy;
}

bool is_store_absent(const gateway_state& state) {
    return host::is_absence_told(state.registry_outage, outage_options_of(state), state.clock->now());
}

json describe_registry_doubt(const gateway_state& state) {
    const base::time_point now = state.clock->now();
    const host::outage_evidence& evidence = state.registry_outage;
    json complaints = json::object();
    for (const auto& [host, told_at] : evidence.absences_told)
        complaints[host.value] = base::to_milliseconds(now - told_at);
    const bool is_failing = registry_condition_of(state) == decision::registry_condition::failing;
    json doubt = {{"doubts_removals", is_failing},
                  {"last_read", host::to_text(state.registry_read_ending)},
                  {"absence_told_ms_ago", std::move(complaints)},
                  {"lease", host::to_text(registry_lease_state(state))},
                  {"known_for_ms", base::to_milliseconds(now - state.registry_known_until)}};
    if (evidence.own_absence_at)
        doubt["own_absence_ms_ago"] = base::to_milliseconds(now - *evidence.own_absence_at);
    if (evidence.own.until != base::time_point{})
        doubt["served_for_ms"] = base::to_milliseconds(evidence.own.until - evidence.own.since);
    if (evidence.known.until != base::time_point{})
        doubt["present_ms_ago"] = {base::to_milliseconds(now - evidence.known.since),
                                   base::to_milliseconds(now - evidence.known.until)};
    return doubt;
}

} // namespace postpaddle::gateway
