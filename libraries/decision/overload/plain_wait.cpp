// SPDX-License-Identifier: BSD-2-Clause
#include <decision/overload/plain_wait.h>

#include <algorithm>

namespace postpaddle::decision {

double usable_requests(const plain_candidate& one, double usable_target) {
    return std::max(one.slots, one.slots * usable_target / one.service_seconds);
}

double seconds_until_capacity(const std::vector<plain_candidate>& candidates, double usable_target) {
    double shortest = std::numeric_limits<double>::max();
    for (const plain_candidate& one : candidates) {
        const double usable = std::min(one.full_at, usable_requests(one, usable_target));
        shortest = std::min(shortest, one.seconds_until(usable - 1));
    }
    return shortest;
}

std::optional<double> seconds_until_in_time(const std::vector<plain_candidate>& candidates,
                                            const plain_wait_facts& facts) {
    std::optional<double> shortest;
    for (const plain_candidate& one : candidates) {
        // Waiting helps only where the upstream is full: in its queue, the request would wait as long.
        const double full_at = std::min(one.full_at, std::max(one.slots, one.requests));
        const double until = one.seconds_until(full_at - 1) + facts.seconds_ahead;
        const double then = one.service_seconds * std::max(1.0, full_at / one.slots);
        if (facts.waited + until + then <= facts.usable_target)
            shortest = std::min(shortest.value_or(until), until);
    }
    return shortest;
}

free_slot_wait wait_for_free_slot(const std::vector<plain_candidate>& candidates, double seconds_ahead) {
    free_slot_wait first;
    for (const plain_candidate& one : candidates) {
        const double until = one.seconds_until(one.slots - 1) + seconds_ahead;
        if (until + one.service_seconds < first.until_end)
            first = {.until_sent = until, .until_end = until + one.service_seconds};
    }
    return first;
}

} // namespace postpaddle::decision
