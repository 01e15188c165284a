// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/upstream_words.h>

#include <decision/upstream_limit.h>

#include <algorithm>
#include <iterator>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;

/// Limits in one message, some 20 bytes each.
constexpr std::size_t most_told = 32;
/// A limit that was lifted is told for so long: word reaches all hosts within seconds.
constexpr base::duration lifted_told = 10s;
/// A host that heard an upstream itself tells its cell of it for so long, each second.
constexpr base::duration own_word_lifetime = 2s;

void did_change_limit(gateway_state& state, const decision::instance& target, const char* heard_from) {
    state.limited.insert(target.entry.id);
    nlohmann::json line = {
        {"instance", target.entry.id.value}, {"service", target.entry.service}, {"heard_from", heard_from}};
    if (target.limit.per_second)
        line["limit_per_s"] = *target.limit.per_second;
    state.log->write(target.limit.per_second ? "upstream_limited" : "upstream_limit_lifted", std::move(line));
}

bool is_worth_telling(const decision::named_limit& limit, base::time_point now) {
    return limit.per_second || now - limit.changed < lifted_told;
}

} // namespace

void take_words(gateway_state& state, decision::instance& target, const ports::answer_facts& facts,
                base::time_point sent) {
    if (facts.is_other_instance)
        return;
    if (facts.rest)
        decision::note_rest(target, *facts.rest, state.clock->now());
    // An answer that is not the upstream's own, or whose word can't be read, lifts no limit.
    const bool may_lift = facts.is_genuine && !facts.has_unreadable_word;
    if (!facts.limit && !may_lift)
        return;
    if (!decision::note_limit(target, facts.limit, sent, state.clock->now()))
        return;
    did_change_limit(state, target, "answer");
    state.did_change_own_load();
}

void hear_limits(gateway_state& state, const std::vector<host::told_limit>& limits) {
    const base::time_point now = state.clock->now();
    for (const host::told_limit& told : limits) {
        decision::instance* const target = host::find_by_key(state.instances, state.loads, told.key);
        if (target != nullptr && decision::hear_limit(*target, told.per_second, now - told.age, now))
            did_change_limit(state, *target, "peer");
    }
}

std::vector<host::told_limit> limits_to_tell(gateway_state& state, limit_source source) {
    const base::time_point now = state.clock->now();
    std::vector<host::told_limit> limits;
    for (auto id = state.limited.begin(); id != state.limited.end();) {
        const decision::instance* const known = decision::find_instance(state.instances, *id);
        if (known == nullptr || !is_worth_telling(known->limit, now)) {
            id = state.limited.erase(id);
            continue;
        }
        ++id;
        const decision::named_limit& limit = known->limit;
        const bool is_told = source == limit_source::any || now - limit.heard_here < own_word_lifetime;
        if (is_told)
            limits.push_back({.key = host::key_of(known->entry.id, known->entry.born),
                              .per_second = limit.per_second,
                              .age = now - limit.said});
    }
    std::vector<host::told_limit> told;
    std::ranges::sample(limits, std::back_inserter(told), most_told, state.random);
    return told;
}

} // namespace postpaddle::gateway
