// SPDX-License-Identifier: BSD-2-Clause
#include <decision/admission.h>

#include <algorithm>

namespace postpaddle::decision {

namespace {

/// Part of the latency target that expectations may fill; the rest is what they may be wrong by.
constexpr double usable_target = 0.8;

} // namespace

base::duration expected_wait(const admission_facts& facts) {
    const double ahead = facts.older_waiting + 1 - facts.free_places;
    if (ahead <= 0)
        return {};
    return base::from_seconds(ahead * base::to_seconds(facts.hold) / std::max(1.0, facts.total_places));
}

admission admit_to_engines(const admission_facts& facts) {
    if (facts.has_room && facts.free_places > facts.older_waiting)
        return admission::start;
    if (facts.is_queued)
        return admission::wait;
    const double limit = usable_target * base::to_seconds(facts.latency_target);
    const bool is_in_time = base::to_seconds(expected_wait(facts) + facts.expected_start) <= limit;
    return is_in_time ? admission::wait : admission::refuse;
}

} // namespace postpaddle::decision
