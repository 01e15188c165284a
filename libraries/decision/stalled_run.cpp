// SPDX-License-Identifier: BSD-2-Clause
#include <decision/stalled_run.h>

#include <algorithm>
#include <cmath>

namespace postpaddle::decision {

namespace {

using namespace std::chrono_literals;

/// Time in which the weight of an earlier stall halves.
constexpr base::duration stall_half_life = 10s;
/// By how much the stalls that ended badly may outweigh the others. Less than one stall.
constexpr double tolerated_losses = 0.5;
/// Fraction of the limit after which an upstream is asked for a sign of life.
constexpr double probe_fraction = 0.5;
/// The same since its last sign of life, so that the next one comes before that counts no more.
constexpr double next_probe_fraction = 0.25;
/// Fraction of the limit for which the bytes of an event may arrive at a sound upstream, which sends an event
/// as a whole.
constexpr double unfinished_fraction = 0.5;
/// Age, as a fraction of the limit, up to which a sign of life counts: events of other streams from just
/// before the upstream ended must not.
constexpr double life_fraction = 0.75;

constexpr base::duration min_patience = 2s;
constexpr int patience_in_latency_targets = 4;
constexpr int patience_in_gap_targets = 8;

void decay(stall_history& history, base::time_point now) {
    const double age = base::to_seconds(now - history.updated_at) / base::to_seconds(stall_half_life);
    const double weight = std::exp2(-std::max(0.0, age));
    history.recovered *= weight;
    history.lost *= weight;
    history.updated_at = now;
}

/// Whether the upstream sends, but no answer.
bool is_without_end(const stall_facts& facts) {
    return facts.unfinished >= base::scaled(facts.limit, unfinished_fraction);
}

} // namespace

void record_stall(stall_history& history, stall_end end, base::time_point now) {
    decay(history, now);
    (end == stall_end::recovered ? history.recovered : history.lost) += 1;
}

bool is_recovery_expected(const stall_history& history, base::time_point now) {
    stall_history current = history;
    decay(current, now);
    return current.lost <= current.recovered + tolerated_losses;
}

bool should_replace(const stall_facts& facts) {
    if (facts.silent < facts.limit)
        return false;
    if (!facts.is_alive || !facts.is_recovery_expected || is_without_end(facts))
        return true;
    // Where another run would come too late already when the upstream is doubted, this one is waited for.
    return facts.takeover_limit >= facts.limit && facts.silent >= facts.takeover_limit;
}

bool should_give_up_alone(const stall_facts& facts) {
    // A request that may have run waits for its answer until its own deadline, however long its upstream is
    // silent.
    return facts.ending == ending_alone::refusal && should_replace(facts);
}

bool is_sign_of_life(base::time_point heard_at, base::time_point silent_since, base::duration limit,
                     base::time_point now) {
    return heard_at > silent_since && now - heard_at <= base::scaled(limit, life_fraction);
}

base::duration silence_before_probe(base::duration limit) { return base::scaled(limit, probe_fraction); }

base::duration age_before_next_probe(base::duration limit) {
    return base::scaled(limit, next_probe_fraction);
}

base::duration caller_patience(base::duration latency_target, base::duration gap_target) {
    return std::max(
        {min_patience, latency_target * patience_in_latency_targets, gap_target * patience_in_gap_targets});
}

} // namespace postpaddle::decision
