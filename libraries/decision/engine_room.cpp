// SPDX-License-Identifier: BSD-2-Clause
#include <decision/engine_room.h>

#include <decision/choice_cost.h>

#include <algorithm>
#include <cmath>

namespace postpaddle::decision {

namespace {

/// Fraction of an engine's memory that may be reserved.
constexpr double reservable_fraction = 1.0;

/// The decode engines whose room counts: those that are not avoided or, if there are none, those that may be
/// chosen as a last resort.
std::vector<const instance*> engines_with_slots(const instance_table& table, const choice_context& context) {
    std::vector<const instance*> engines = eligible_instances(table, context, can_decode);
    const auto is_avoided_now = [&context](const instance* engine) {
        return is_avoided(*engine, context.now);
    };
    if (std::ranges::all_of(engines, is_avoided_now))
        std::erase_if(engines,
                      [&context](const instance* engine) { return !is_last_resort(*engine, context.now); });
    else
        std::erase_if(engines, is_avoided_now);
    return engines;
}

} // namespace

double available_memory(const instance& candidate, const settings::engine_capacity& capacity,
                        base::time_point now) {
    return reservable_fraction * capacity.kv_tokens - candidate.own.memory_tokens -
           candidate.others.memory_tokens - unreported_memory(candidate, now);
}

double unreserved_memory(const instance& candidate, const choice_context& context,
                         const settings::engine_capacity& capacity) {
    const auto found = context.reserved.find(candidate.entry.id);
    const double reserved = found == context.reserved.end() ? 0 : found->second;
    return available_memory(candidate, capacity, context.now) - reserved;
}

bool has_room(const instance& candidate, const choice_context& context,
              const settings::engine_capacity& capacity, const prompt_size& size) {
    const int requests = candidate.own.requests + candidate.others.requests;
    if (requests >= capacity.slots)
        return false;
    // A request larger than the whole engine is admitted to an empty one.
    const bool is_empty = requests == 0 && unreported_memory(candidate, context.now) == 0 &&
                          !context.reserved.contains(candidate.entry.id);
    return is_empty || capacity.kv_tokens <= 0 ||
           unreserved_memory(candidate, context, capacity) >= size.prompt_tokens + size.output_tokens;
}

std::map<base::upstream_id, double> reserve_memory(const instance_table& table, const choice_context& context,
                                                   const settings::engine_capacity& capacity,
                                                   std::span<const waiter> ahead) {
    std::map<base::upstream_id, double> reserved;
    std::vector<std::pair<double, base::upstream_id>> left;
    for (const instance* candidate : engines_with_slots(table, context))
        left.emplace_back(available_memory(*candidate, capacity, context.now), candidate->entry.id);
    if (left.empty())
        return reserved;
    std::ranges::make_heap(left);
    for (const waiter& other : ahead) {
        std::ranges::pop_heap(left);
        left.back().first -= other.memory_tokens;
        reserved[left.back().second] += other.memory_tokens;
        std::ranges::push_heap(left);
    }
    return reserved;
}

decode_slots count_decode_slots(const instance_table& table, const choice_context& context,
                                const settings::engine_capacity& capacity, const prompt_size& size) {
    decode_slots slots;
    const double required = std::max(1.0, size.prompt_tokens + size.output_tokens);
    for (const instance* candidate : engines_with_slots(table, context)) {
        const double total =
            std::min<double>(capacity.slots, reservable_fraction * capacity.kv_tokens / required);
        const double available = std::max(0.0, available_memory(*candidate, capacity, context.now));
        const double left = available / required;
        slots.total_memory += reservable_fraction * capacity.kv_tokens;
        slots.free_memory += available;
        const double speed = 1 / candidate->pace.in_use.decode;
        slots.total += speed * std::max(1.0, total);
        if (!has_room(*candidate, context, capacity, size))
            continue;
        const double free = std::max(1.0, std::floor(left));
        slots.free += std::min(1.0, speed) * free;
        slots.free_now += free;
    }
    return slots;
}

} // namespace postpaddle::decision
