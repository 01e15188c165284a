// SPDX-License-Identifier: BSD-2-Clause
#include <decision/plain_choice.h>

#include <decision/choice_cost.h>

#include <algorithm>

namespace postpaddle::decision {

namespace {

double plain_cost(const instance& candidate, const choice_context& context, std::mt19937_64& random) {
    const double slots = std::max(1, candidate.entry.slots);
    const double load = candidate.own.requests + others_requests(candidate, context.now);
    const double queue_rounds = std::max(1.0, (load + 1) / slots);
    // Prefers upstreams with more free slots.
    static constexpr double crowding_cost = 0.03;
    const double expected = candidate.latency.value * relative_latency(candidate, context.now);
    return base_cost(candidate, context, random) + expected * queue_rounds + crowding_cost * load / slots;
}

} // namespace

std::optional<base::upstream_id> choose_plain(const instance_table& table, const choice_context& context,
                                              std::mt19937_64& random) {
    const auto candidates = eligible_instances(table, context, [](const instance&) { return true; });
    const scored_candidate best = cheapest(
        candidates, [&](const instance& candidate) { return plain_cost(candidate, context, random); });
    if (best.chosen == nullptr)
        return std::nullopt;
    return best.chosen->entry.id;
}

void record_response_time(instance& target, base::duration taken, base::time_point now) {
    add_sample(target.latency, base::to_seconds(taken) / relative_latency(target, now));
}

} // namespace postpaddle::decision
