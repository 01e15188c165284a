// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/upstreams/upstream_advertisements.h>

#include <decision/upstream_limit.h>

#include <algorithm>
#include <iterator>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;

/// Maximum number of upstreams in one message, about 20 bytes each.
constexpr std::size_t max_advertisements = 32;
/// How long a lifted limit is gossiped; it reaches all hosts within seconds.
constexpr base::duration lifted_limit_lifetime = 10s;
/// How long a leaving upstream is gossiped. Hosts that start later learn it from the registry.
constexpr base::duration leaving_lifetime = 60s;
/// How long state advertised to this host itself is included in its load reports.
constexpr base::duration own_advertisement_lifetime = 2s;

void log_limit_change(gateway_state& state, const decision::instance& target, const char* origin) {
    nlohmann::json fields = {
        {"instance", target.entry.id.value}, {"service", target.entry.service}, {"heard_from", origin}};
    if (target.limit.per_second)
        fields["limit_per_s"] = *target.limit.per_second;
    state.log->write(target.limit.per_second ? "upstream_limited" : "upstream_limit_lifted",
                     std::move(fields));
}

/// Applies the limit from a response; returns whether it changed.
bool apply_limit(gateway_state& state, decision::instance& target, const ports::answer_facts& facts,
                 base::time_point sent) {
    // A response from an intermediary, or one with an unreadable header, must not lift a limit.
    const bool may_lift = facts.is_sealed && !facts.has_malformed_state;
    if (!facts.limit && !may_lift)
        return false;
    if (!decision::record_limit(target, facts.limit, sent, state.clock->now()))
        return false;
    log_limit_change(state, target, "answer");
    return true;
}

bool is_relevant(const decision::instance& known, base::time_point now) {
    return known.limit.per_second || now - known.limit.changed < lifted_limit_lifetime ||
           now - known.leaving_since < leaving_lifetime;
}

bool did_advertise_recently(const decision::instance& known, base::time_point now) {
    return now - std::max(known.limit.advertised_here_at, known.announced_leaving_at) <
           own_advertisement_lifetime;
}

} // namespace

void apply_advertised_state(gateway_state& state, decision::instance& target,
                            const ports::answer_facts& facts, base::time_point sent) {
    if (facts.is_other_instance)
        return;
    const base::time_point now = state.clock->now();
    if (facts.backoff)
        decision::record_backoff(target, *facts.backoff, now);
    bool is_new = apply_limit(state, target, facts, sent);
    if (facts.is_leaving) {
        target.announced_leaving_at = now;
        is_new |= record_instance_leaving(state, target, "answer");
    }
    if (!is_new)
        return;
    state.advertising_upstreams.insert(target.entry.id);
    state.did_change_load();
}

void handle_advertisements(gateway_state& state, const std::vector<host::advertised_state>& advertisements) {
    const base::time_point now = state.clock->now();
    for (const host::advertised_state& advertisement : advertisements) {
        decision::instance* const target = host::find_by_key(state.instances, state.loads, advertisement.key);
        if (target == nullptr)
            continue;
        if (decision::receive_limit(*target, advertisement.per_second, now - advertisement.age, now))
            log_limit_change(state, *target, "peer");
        if (advertisement.is_leaving)
            (void)record_instance_leaving(state, *target, "peer");
        if (is_relevant(*target, now))
            state.advertising_upstreams.insert(target->entry.id);
    }
}

std::vector<host::advertised_state> advertisements_to_send(gateway_state& state,
                                                           advertisement_source source) {
    const base::time_point now = state.clock->now();
    std::vector<host::advertised_state> candidates;
    for (auto id = state.advertising_upstreams.begin(); id != state.advertising_upstreams.end();) {
        const decision::instance* const known = decision::find_instance(state.instances, *id);
        if (known == nullptr || !is_relevant(*known, now)) {
            id = state.advertising_upstreams.erase(id);
            continue;
        }
        ++id;
        if (source == advertisement_source::any || did_advertise_recently(*known, now))
            candidates.push_back({.key = host::key_of(known->entry.id, known->entry.start_time_ms),
                                  .per_second = known->limit.per_second,
                                  .age = now - known->limit.advertised_at,
                                  .is_leaving = known->state == decision::listing::leaving});
    }
    std::vector<host::advertised_state> selected;
    std::ranges::sample(candidates, std::back_inserter(selected), max_advertisements, state.random);
    return selected;
}

} // namespace postpaddle::gateway
