// SPDX-License-Identifier: BSD-2-Clause
#include <decision/shared_silence.h>

namespace postpaddle::decision {

namespace {

/// Fraction of the limit by which an upstream may come back later than the first one that fell silent with
/// it.
constexpr double return_fraction = 0.25;

/// Whether the upstream may be about to come back, as one that fell silent with it has just done.
bool may_return_with_others(const stall_facts& facts, const other_upstreams& others) {
    return others.since_shared && *others.since_shared < base::scaled(facts.limit, return_fraction);
}

/// The facts of a run at an upstream that is given the benefit of the doubt.
stall_facts as_if_alive(stall_facts facts) {
    facts.is_alive = true;
    facts.is_recovery_expected = true;
    facts.unfinished = {};
    return facts;
}

} // namespace

bool is_silence_shared(const other_upstreams& others) { return others.alive == 0 && others.silent > 0; }

bool should_replace(const stall_facts& facts, const other_upstreams& others) {
    if (is_silence_shared(others))
        return false;
    return should_replace(may_return_with_others(facts, others) ? as_if_alive(facts) : facts);
}

bool should_give_up_alone(const stall_facts& facts, const other_upstreams& others) {
    const bool is_trusted = is_silence_shared(others) || may_return_with_others(facts, others);
    return should_give_up_alone(is_trusted ? as_if_alive(facts) : facts);
}

} // namespace postpaddle::decision
