// SPDX-License-Identifier: BSD-2-Clause
#include <decision/instance_choice.h>

#include <decision/choice_cost.h>

#include <algorithm>
#include <limits>
#include <map>

namespace postpaddle::decision {

namespace {

// Costs are in seconds of expected delay, so they can be added.

/// Additional cost of a KV cache transfer between availability zones.
constexpr double other_zone_transfer_cost = 0.12;
/// Cost of a prefill at a decode engine: it slows down the streams there.
constexpr double decode_interference_cost = 0.5;
/// Cost of an engine without a free slot.
constexpr double full_cost = 10;
/// Lower bound of a slowness sample.
constexpr double min_slowness = 0.1;
/// Seconds after which a measured queue time no longer counts.
constexpr double queue_time_lifetime = 0.5;

double recent_queue_seconds(const instance& candidate, base::time_point now) {
    if (candidate.queue_time_measured_at == base::time_point{})
        return 0;
    const double age = base::to_seconds(now - candidate.queue_time_measured_at);
    return std::max(0.0, base::to_seconds(candidate.last_queue_time) * (1 - age / queue_time_lifetime));
}

/// Tokens of the prompt that the engine has to prefill.
double tokens_to_prefill(const instance& candidate, double tokens, const choice_context& context) {
    return context.holding.contains(candidate.entry.id) ? 0 : tokens;
}

/// Seconds until a prefill engine has completed a prompt sent now, queueing included.
double prefill_time(const instance& candidate, double tokens, const choice_context& context) {
    const double queue = std::max(seconds_for_tokens(context.speed, pending_prompt_tokens(candidate)) *
                                      candidate.slowness.value,
                                  recent_queue_seconds(candidate, context.now));
    const double own = unqueued_prefill_seconds(context.speed, tokens_to_prefill(candidate, tokens, context));
    return queue + own * candidate.slowness.value;
}

/// Seconds until a decode engine has prefilled a prompt sent now, queueing included.
double decode_prefill_time(const instance& candidate, double tokens, const choice_context& context) {
    const double queue = seconds_for_tokens(context.speed, pending_prompt_tokens(candidate));
    const double own = unqueued_prefill_seconds(context.speed, tokens);
    return decode_prefill_factor * (queue + own) * candidate.slowness.value;
}

/// Cost of prefilling a prompt at a decode engine; none where the engine holds the prompt.
double decode_prefill_cost(const instance& candidate, double tokens, const choice_context& context) {
    if (context.holding.contains(candidate.entry.id))
        return 0;
    return decode_prefill_time(candidate, tokens, context) + decode_interference_cost;
}

double memory_cost(const instance& candidate, const choice_context& context,
                   const settings::engine_capacity& capacity, const prompt_size& size) {
    // Decode is faster on engines with less memory in use.
    static constexpr double crowding_cost = 0.05;
    const double left =
        capacity.kv_tokens > 0 ? unreserved_memory(candidate, context, capacity) / capacity.kv_tokens : 1;
    return crowding_cost * (1 - left) + (has_room(candidate, context, capacity, size) ? 0 : full_cost);
}

using candidates_by_zone = std::map<base::zone_id, scored_candidate>;

/// The cheapest candidate of each availability zone.
candidates_by_zone cheapest_by_zone(const std::vector<const instance*>& candidates,
                                    const std::function<double(const instance&)>& cost_of) {
    candidates_by_zone best;
    for (const instance* candidate : candidates) {
        const double cost = cost_of(*candidate);
        scored_candidate& known = best[candidate->entry.availability_zone];
        if (cost < known.cost)
            known = {candidate, cost};
    }
    return best;
}

struct engine_pair {
    const instance* prefill = nullptr;
    const instance* decode = nullptr;
    double cost = std::numeric_limits<double>::infinity();
};

/// The pair with the lowest total cost, including transfers between availability zones.
engine_pair cheapest_pair(const candidates_by_zone& prefill, const candidates_by_zone& decode) {
    engine_pair best;
    for (const auto& [source_zone, source] : prefill)
        for (const auto& [zone, target] : decode) {
            const double cost =
                source.cost + target.cost + (zone == source_zone ? 0 : other_zone_transfer_cost);
            if (cost < best.cost)
                best = {source.chosen, target.chosen, cost};
        }
    return best;
}

} // namespace

double pending_prompt_tokens(const instance& candidate) {
    return std::max(0.0, candidate.own.prompt_tokens + candidate.others.prompt_tokens);
}

std::optional<engine_plan> choose_colocated(const instance_table& table, const choice_context& context,
                                            const settings::engine_capacity& capacity,
                                            const prompt_size& size, std::mt19937_64& random) {
    const scored_candidate best =
        cheapest(eligible_instances(table, context, can_decode), [&](const instance& candidate) {
            return base_cost(candidate, context, random) + memory_cost(candidate, context, capacity, size) +
                   decode_prefill_cost(candidate, size.prompt_tokens, context);
        });
    if (best.chosen == nullptr)
        return std::nullopt;
    // The timeout allows for a full prefill, as the engine may have evicted the held prompt.
    const double prefill_seconds = decode_prefill_time(*best.chosen, size.prompt_tokens, context);
    return engine_plan{.prefill = std::nullopt,
                       .decode = best.chosen->entry.id,
                       .has_room = has_room(*best.chosen, context, capacity, size),
                       .expected_prefill = base::from_seconds(prefill_seconds),
                       .expected_first_event =
                           base::from_seconds(prefill_seconds + context.speed.first_event.value),
                       .cost = best.cost};
}

std::optional<engine_plan> choose_decode(const instance_table& table, const choice_context& context,
                                         const settings::engine_capacity& capacity, const prompt_size& size,
                                         const base::zone_id& source_zone, std::mt19937_64& random) {
    const scored_candidate best =
        cheapest(eligible_instances(table, context, can_decode), [&](const instance& candidate) {
            const bool is_same_zone = candidate.entry.availability_zone == source_zone;
            return base_cost(candidate, context, random) + memory_cost(candidate, context, capacity, size) +
                   (is_same_zone ? 0 : other_zone_transfer_cost);
        });
    if (best.chosen == nullptr)
        return std::nullopt;
    return engine_plan{.prefill = std::nullopt,
                       .decode = best.chosen->entry.id,
                       .has_room = has_room(*best.chosen, context, capacity, size),
                       .expected_first_event = base::from_seconds(context.speed.first_event.value),
                       .cost = best.cost};
}

std::optional<engine_plan> choose_engines(const instance_table& table, const choice_context& context,
                                          const settings::engine_capacity& capacity, const prompt_size& size,
                                          std::mt19937_64& random) {
    const auto colocated = choose_colocated(table, context, capacity, size, random);
    const auto prefill =
        cheapest_by_zone(eligible_instances(table, context, can_prefill), [&](const instance& candidate) {
            return base_cost(candidate, context, random) +
                   prefill_time(candidate, size.prompt_tokens, context);
        });
    const auto decode =
        cheapest_by_zone(eligible_instances(table, context, can_decode), [&](const instance& candidate) {
            return base_cost(candidate, context, random) + memory_cost(candidate, context, capacity, size) +
                   context.speed.first_event.value;
        });
    const engine_pair best = cheapest_pair(prefill, decode);
    if (best.prefill == nullptr || (colocated && colocated->cost < best.cost))
        return colocated;
    const double prefill_seconds = prefill_time(*best.prefill, size.prompt_tokens, context);
    return engine_plan{.prefill = best.prefill->entry.id,
                       .decode = best.decode->entry.id,
                       .has_room = has_room(*best.decode, context, capacity, size),
                       .expected_prefill = base::from_seconds(prefill_seconds),
                       .expected_first_event =
                           base::from_seconds(prefill_seconds + context.speed.first_event.value),
                       .cost = best.cost};
}

void record_prefill(instance& target, engine_speed& speed, const prefill_sample& sample,
                    base::time_point now) {
    const double alone = unqueued_prefill_seconds(speed, sample.prompt_tokens);
    const double seconds = base::to_seconds(sample.taken);
    const double queue = seconds_for_tokens(speed, sample.tokens_ahead);
    add_sample(target.slowness, std::max(min_slowness, seconds / (alone + queue)));
    if (sample.tokens_ahead == 0)
        record_unqueued_prefill(speed, sample.prompt_tokens, seconds);
    target.last_queue_time = base::from_seconds(std::max(0.0, seconds - alone * target.slowness.value));
    target.queue_time_measured_at = now;
}

} // namespace postpaddle::decision
