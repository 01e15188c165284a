// SPDX-License-Identifier: BSD-2-Clause
#include <decision/admission.h>

#include <algorithm>

namespace postpaddle::decision {

namespace {

/// Fraction of the freed slots that requests are expected to get which newer ones overtake. No kind of
/// request may be served less than a quarter as often as all are; with more, less urgent callers that may
/// wait for long would displace more urgent ones.
constexpr double overtaken_fraction = 0.25;
/// Maximum wait for a slot, in multiples of the latency target.
constexpr int max_wait_targets = 3;
/// Range of the random factor applied to the retry delay, so that refused callers don't retry in sync.
constexpr double min_retry_factor = 1;
constexpr double max_retry_factor = 3;
/// The same in an ordered queue, where the expected wait is more precise, as it counts the requests ahead in
/// the order in which they are served.
constexpr double max_ordered_retry_factor = 2;
constexpr base::duration min_retry_delay = std::chrono::milliseconds(1'000);
/// Late prompts are held back while the prefill queue is longer than this, so that newer prompts can still
/// meet their latency target.
constexpr base::duration max_prefill_queue_for_late = std::chrono::milliseconds(100);

} // namespace

base::duration expected_wait(const admission_facts& facts) {
    const double ahead = facts.waiting_ahead + 1 - facts.free_slots;
    if (ahead <= 0)
        return {};
    const double overtaken = facts.overtaken_ahead / overtaken_fraction;
    return base::from_seconds(std::max(ahead, overtaken) * base::to_seconds(facts.hold) /
                              std::max(1.0, facts.total_slots));
}

base::duration slot_retry_delay(const admission_facts& facts, std::mt19937_64& random) {
    std::uniform_real_distribution<double> factor(
        min_retry_factor, facts.is_ordered ? max_ordered_retry_factor : max_retry_factor);
    const double wait = std::max(base::to_seconds(min_retry_delay), base::to_seconds(expected_wait(facts)));
    return base::from_seconds(wait * factor(random));
}

base::duration max_wait_on_time(base::duration latency_target, base::duration expected_start) {
    const double seconds =
        usable_target_fraction * base::to_seconds(latency_target) - base::to_seconds(expected_start);
    return base::from_seconds(std::max(0.0, seconds));
}

base::duration max_slot_wait(base::duration latency_target, base::duration time_limit) {
    return std::min(latency_target * max_wait_targets, time_limit / 2);
}

admission admit_to_engines(const admission_facts& facts) {
    const bool has_slot = facts.has_room;
    const bool should_yield = facts.is_late && facts.prompt_queue > max_prefill_queue_for_late;
    if (has_slot && (!should_yield || facts.waited >= facts.max_wait))
        return admission::start;
    if (has_slot)
        return admission::wait;
    if (facts.is_queued)
        return facts.waited >= facts.max_wait ? admission::refuse : admission::wait;
    const base::duration last_wait = facts.overtaken_ahead > 0 ? facts.max_wait / 2 : facts.max_wait;
    const base::duration max_expected_wait = facts.will_retry ? facts.in_time : last_wait;
    return expected_wait(facts) > max_expected_wait ? admission::refuse : admission::wait;
}

} // namespace postpaddle::decision
