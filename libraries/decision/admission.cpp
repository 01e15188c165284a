// SPDX-License-Identifier: BSD-2-Clause
#include <decision/admission.h>

#include <algorithm>

namespace postpaddle::decision {

namespace {

/// Part of the latency target that expectations may fill; the rest is what they may be wrong by.
constexpr double usable_target = 0.8;
/// Latency targets for which a caller waits for a place.
constexpr int patient_targets = 3;
/// A prompt that is late already is not sent while prefill engines have more than this ahead of it: those that come
/// next may still be in time.
constexpr base::duration longest_queue_of_late = std::chrono::milliseconds(100);

} // namespace

base::duration expected_wait(const admission_facts& facts) {
    const double ahead = facts.waiting_ahead + 1 - facts.free_places;
    if (ahead <= 0)
        return {};
    return base::from_seconds(ahead * base::to_seconds(facts.hold) / std::max(1.0, facts.total_places));
}

base::duration longest_wait_in_time(base::duration latency_target, base::duration expected_start) {
    const double seconds =
        usable_target * base::to_seconds(latency_target) - base::to_seconds(expected_start);
    return base::from_seconds(std::max(0.0, seconds));
}

base::duration patience_for_place(base::duration latency_target, base::duration time_limit) {
    return std::min(latency_target * patient_targets, time_limit / 2);
}

admission admit_to_engines(const admission_facts& facts) {
    const bool has_place = facts.has_room && facts.free_places > facts.waiting_ahead;
    const bool is_patient = facts.is_late && facts.prompt_queue > longest_queue_of_late;
    if (has_place && (!is_patient || facts.waited >= facts.patience))
        return admission::start;
    if (has_place)
        return admission::wait;
    if (facts.is_queued)
        return facts.waited >= facts.patience ? admission::refuse : admission::wait;
    return expected_wait(facts) > facts.patience ? admission::refuse : admission::wait;
}

} // namespace postpaddle::decision
