// SPDX-License-Identifier: BSD-2-Clause
#include <decision/instance_choice.h>

#include <decision/choice_cost.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <limits>
#include <map>

namespace postpaddle::decision {

namespace {

// Costs are in seconds of expected delay, so they can be added.

/// Additional cost of a KV cache transfer between availability zones.
constexpr double other_zone_transfer_cost = 0.12;
/// Cost of a prefill at a decode engine: it slows down the streams there.
constexpr double decode_interference_cost = 0.5;
/// Cost per second that a request occupies its slot longer than usual: callers that wait get it later.
constexpr double hold_cost = 0.1;
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

bool has_own_pace(double pace_in_use) { return pace_in_use < 1 || pace_in_use > 1; }

/// Prefill time at a prefill engine relative to the service's mean.
double prefill_pace(const instance& candidate) {
    return has_own_pace(candidate.pace.in_use.prefill) ? candidate.pace.in_use.prefill
                                                       : candidate.slowness.value;
}

/// The same at a decode engine. Without a prefill pace in use, it is derived from the time between events.
double decode_prefill_pace(const instance& candidate) {
    const engine_pace& pace = candidate.pace.in_use;
    return has_own_pace(pace.prefill) ? pace.prefill : candidate.slowness.value * pace.decode;
}

/// Seconds until a prefill engine has completed a prompt sent now, queueing included.
double prefill_time(const instance& candidate, double tokens, const choice_context& context) {
    const double queue = std::max(seconds_for_tokens(context.speed, pending_prompt_tokens(candidate)) *
                                      prefill_pace(candidate),
                                  recent_queue_seconds(candidate, context.now));
    const double own = unqueued_prefill_seconds(context.speed, tokens_to_prefill(candidate, tokens, context));
    return queue + own * prefill_pace(candidate);
}

/// Seconds until a decode engine has prefilled a prompt sent now, queueing included.
double decode_prefill_time(const instance& candidate, double tokens, const choice_context& context) {
    const double queue = seconds_for_tokens(context.speed, pending_prompt_tokens(candidate));
    const double own = unqueued_prefill_seconds(context.speed, tokens);
    return decode_prefill_factor * (queue + own) * decode_prefill_pace(candidate);
}

/// Cost of prefilling a prompt at a decode engine; none where the engine holds the prompt.
double decode_prefill_cost(const instance& candidate, double tokens, const choice_context& context) {
    if (context.holding.contains(candidate.entry.id))
        return 0;
    return decode_prefill_time(candidate, tokens, context) + decode_interference_cost;
}

/// Seconds from sending a request with its KV cache until the first event.
double first_event_time(const instance& candidate, const choice_context& context) {
    return context.speed.first_event.value * candidate.pace.in_use.decode;
}

/// Cost of the slot and memory that the request occupies until its end.
double memory_cost(const instance& candidate, const choice_context& context,
                   const settings::engine_capacity& capacity, const prompt_size& size) {
    // Decode is faster on engines with less memory in use.
    static constexpr double crowding_cost = 0.05;
    const double left =
        capacity.kv_tokens > 0 ? unreserved_memory(candidate, context, capacity) / capacity.kv_tokens : 1;
    const double extra_hold = context.hold_seconds * (candidate.pace.in_use.decode - 1);
    return crowding_cost * (1 - left) + hold_cost * extra_hold +
           (has_room(candidate, context, capacity, size) ? 0 : full_cost);
}

using engine_weight = std::function<double(const instance&)>;

/// Candidates with their costs.
struct scored_engines {
    std::vector<scored_candidate> candidates;
    bool is_uneven = false; ///< One of them has a pace of its own.
};

scored_engines score(const std::vector<const instance*>& engines, double engine_pace::*pace,
                     const std::function<double(const instance&)>& cost_of) {
    scored_engines scored;
    scored.candidates.reserve(engines.size());
    for (const instance* engine : engines) {
        scored.candidates.push_back({engine, cost_of(*engine)});
        scored.is_uneven |= has_own_pace(engine->pace.in_use.*pace);
    }
    return scored;
}

/// The cheapest engine. Where engines differ in speed, the hosts, which would all prefer the same fast ones,
/// spread their requests over the best.
scored_candidate choose_one(scored_engines& scored, const engine_weight& weight_of, std::mt19937_64& random) {
    if (scored.is_uneven)
        return choose_spread(scored.candidates, weight_of, random);
    scored_candidate best;
    for (const scored_candidate& candidate : scored.candidates)
        if (candidate.cost < best.cost)
            best = candidate;
    return best;
}

using candidates_by_zone = std::map<base::zone_id, scored_candidate>;

/// The cheapest engine of each availability zone.
candidates_by_zone cheapest_by_zone(const scored_engines& scored) {
    candidates_by_zone best;
    for (const scored_candidate& candidate : scored.candidates) {
        scored_candidate& known = best[candidate.chosen->entry.availability_zone];
        if (candidate.cost < known.cost)
            known = candidate;
    }
    return best;
}

/// The choice within each availability zone.
candidates_by_zone choose_by_zone(const scored_engines& scored, const engine_weight& weight_of,
                                  std::mt19937_64& random) {
    if (!scored.is_uneven)
        return cheapest_by_zone(scored);
    std::map<base::zone_id, scored_engines> zones;
    for (const scored_candidate& candidate : scored.candidates)
        zones[candidate.chosen->entry.availability_zone].candidates.push_back(candidate);
    candidates_by_zone best;
    for (auto& [zone, engines] : zones) {
        engines.is_uneven = true;
        best[zone] = choose_one(engines, weight_of, random);
    }
    return best;
}

/// Weight of a prefill engine: its speed.
double prefill_weight(const instance& candidate) { return 1 / prefill_pace(candidate); }

/// Weight of a decode engine: its free memory, weighted by its speed.
engine_weight decode_weight(const choice_context& context, const settings::engine_capacity& capacity) {
    return [&context, &capacity](const instance& candidate) {
        const double left = capacity.kv_tokens > 0 ? unreserved_memory(candidate, context, capacity) : 1;
        return std::max(0.0, left) / candidate.pace.in_use.decode;
    };
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

namespace {

using engine_list = std::vector<const instance*>;

/// The same among the given decode engines.
std::optional<engine_plan> choose_colocated_among(const engine_list& engines, const choice_context& context,
                                                  const settings::engine_capacity& capacity,
                                                  const prompt_size& size, std::mt19937_64& random) {
    const auto cost_of = [&](const instance& candidate) {
        return base_cost(candidate, context, random) + memory_cost(candidate, context, capacity, size) +
               decode_prefill_cost(candidate, size.prompt_tokens, context);
    };
    auto scored = score(engines, &engine_pace::decode, cost_of);
    const scored_candidate best = choose_one(scored, decode_weight(context, capacity), random);
    if (best.chosen == nullptr)
        return std::nullopt;
    // The timeout allows for a full prefill, as the engine may have evicted the held prompt.
    const double prefill_seconds = decode_prefill_time(*best.chosen, size.prompt_tokens, context);
    return engine_plan{.prefill = std::nullopt,
                       .decode = best.chosen->entry.id,
                       .has_room = has_room(*best.chosen, context, capacity, size),
                       .expected_prefill = base::from_seconds(prefill_seconds),
                       .expected_first_event =
                           base::from_seconds(prefill_seconds + first_event_time(*best.chosen, context)),
                       .cost = best.cost};
}

} // namespace

namespace {

/// The choice among the engines of the first preferred version that has room, else among all.
template <class Choose>
std::optional<engine_plan> choose_by_preference(const choice_context& context, const Choose& choose) {
    if (context.preferred_versions.empty() || context.software_version)
        return choose(context);
    choice_context restricted = context;
    for (const std::string& version : context.preferred_versions) {
        if (context.unsettled_versions.contains(version))
            continue;
        restricted.software_version = version;
        auto plan = choose(restricted);
        if (plan && plan->has_room)
            return plan;
    }
    return choose(context);
}

} // namespace

std::optional<engine_plan> choose_colocated(const instance_table& table, const choice_context& context,
                                            const settings::engine_capacity& capacity,
                                            const prompt_size& size, std::mt19937_64& random) {
    return choose_by_preference(context, [&](const choice_context& restricted) {
        return choose_colocated_among(eligible_instances(table, restricted, can_decode), restricted, capacity,
                                      size, random);
    });
}

namespace {

std::optional<engine_plan> choose_decode_near(const instance_table& table, const choice_context& context,
                                              const settings::engine_capacity& capacity,
                                              const prompt_size& size, const base::zone_id& source_zone,
                                              std::mt19937_64& random) {
    const auto cost_of = [&](const instance& candidate) {
        const bool is_same_zone = candidate.entry.availability_zone == source_zone;
        return base_cost(candidate, context, random) + memory_cost(candidate, context, capacity, size) +
               (is_same_zone ? 0 : other_zone_transfer_cost);
    };
    auto scored = score(eligible_instances(table, context, can_decode), &engine_pace::decode, cost_of);
    const scored_candidate best = choose_one(scored, decode_weight(context, capacity), random);
    if (best.chosen == nullptr)
        return std::nullopt;
    return engine_plan{.prefill = std::nullopt,
                       .decode = best.chosen->entry.id,
                       .has_room = has_room(*best.chosen, context, capacity, size),
                       .expected_first_event = base::from_seconds(first_event_time(*best.chosen, context)),
                       .cost = best.cost};
}

} // namespace

std::optional<engine_plan> choose_decode(const instance_table& table, const choice_context& context,
                                         const settings::engine_capacity& capacity, const prompt_size& size,
                                         const base::zone_id& source_zone, std::mt19937_64& random) {
    return choose_by_preference(context, [&](const choice_context& restricted) {
        return choose_decode_near(table, restricted, capacity, size, source_zone, random);
    });
}

namespace {

/// The engines that may serve a request, by what they can do.
struct engine_candidates {
    engine_list prefill;
    engine_list decode;
};

std::set<std::string> versions_of(const engine_list& engines) {
    std::set<std::string> versions;
    for (const instance* engine : engines)
        versions.insert(engine->entry.software_version);
    return versions;
}

engine_list engines_of_version(const engine_list& engines, const std::string& version) {
    engine_list matching;
    std::ranges::copy_if(engines, std::back_inserter(matching), [&version](const instance* engine) {
        return engine->entry.software_version == version;
    });
    return matching;
}

/// The cheapest engines of these, whatever their software versions.
std::optional<engine_plan> choose_among(const engine_candidates& engines, const choice_context& context,
                                        const settings::engine_capacity& capacity, const prompt_size& size,
                                        std::mt19937_64& random) {
    auto colocated = choose_colocated_among(engines.decode, context, capacity, size, random);
    const auto prefill_cost = [&](const instance& candidate) {
        return base_cost(candidate, context, random) + prefill_time(candidate, size.prompt_tokens, context);
    };
    const auto prefill = score(engines.prefill, &engine_pace::prefill, prefill_cost);
    const auto decode_cost = [&](const instance& candidate) {
        return base_cost(candidate, context, random) + memory_cost(candidate, context, capacity, size) +
               first_event_time(candidate, context);
    };
    const auto decode = score(engines.decode, &engine_pace::decode, decode_cost);
    const auto prefill_by_zone = choose_by_zone(prefill, prefill_weight, random);
    const auto decode_by_zone = choose_by_zone(decode, decode_weight(context, capacity), random);
    const engine_pair best = cheapest_pair(prefill_by_zone, decode_by_zone);
    if (best.prefill == nullptr || (colocated && colocated->cost < best.cost))
        return colocated;
    const double prefill_seconds = prefill_time(*best.prefill, size.prompt_tokens, context);
    return engine_plan{.prefill = best.prefill->entry.id,
                       .decode = best.decode->entry.id,
                       .has_room = has_room(*best.decode, context, capacity, size),
                       .expected_prefill = base::from_seconds(prefill_seconds),
                       .expected_first_event =
                           base::from_seconds(prefill_seconds + first_event_time(*best.decode, context)),
                       .cost = best.cost};
}

} // namespace

namespace {

std::optional<engine_plan> choose_pair(const instance_table& table, const choice_context& context,
                                       const settings::engine_capacity& capacity, const prompt_size& size,
                                       std::mt19937_64& random) {
    const engine_candidates engines = {.prefill = eligible_instances(table, context, can_prefill),
                                       .decode = eligible_instances(table, context, can_decode)};
    const auto prefill_versions = versions_of(engines.prefill);
    const auto decode_versions = versions_of(engines.decode);
    const bool is_uniform = decode_versions.size() <= 1 && prefill_versions.size() <= 1;
    const bool has_pair = std::ranges::any_of(
        decode_versions, [&](const std::string& version) { return prefill_versions.contains(version); });
    if (is_uniform || !has_pair)
        return choose_among(engines, context, capacity, size, random);
    std::optional<engine_plan> best;
    for (const std::string& version : decode_versions) {
        const engine_candidates of_version = {.prefill = engines_of_version(engines.prefill, version),
                                              .decode = engines_of_version(engines.decode, version)};
        const auto plan = choose_among(of_version, context, capacity, size, random);
        if (plan && (!best || plan->cost < best->cost))
            best = plan;
    }
    return best;
}

} // namespace

std::optional<engine_plan> choose_engines(const instance_table& table, const choice_context& context,
                                          const settings::engine_capacity& capacity, const prompt_size& size,
                                          std::mt19937_64& random) {
    return choose_by_preference(context, [&](const choice_context& restricted) {
        return choose_pair(table, restricted, capacity, size, random);
    });
}

void record_prefill(instance& target, engine_speed& speed, const prefill_sample& sample,
                    base::time_point now) {
    const double alone = unqueued_prefill_seconds(speed, sample.prompt_tokens);
    const double seconds = base::to_seconds(sample.taken);
    const double queue = seconds_for_tokens(speed, sample.tokens_ahead);
    add_sample(target.slowness, std::max(min_slowness, seconds / (alone + queue)));
    if (sample.tokens_ahead == 0)
        record_unqueued_prefill(speed, sample.prompt_tokens, seconds);
    target.last_queue_time = base::from_seconds(std::max(0.0, seconds - alone * prefill_pace(target)));
    target.queue_time_measured_at = now;
}

} // namespace postpaddle::decision
