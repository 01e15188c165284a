// SPDX-License-Identifier: BSD-2-Clause
#include <decision/overload/decode_recheck.h>

#include <base/hashing.h>

#include <algorithm>
#include <limits>
#include <map>
#include <vector>

namespace postpaddle::decision {

namespace {

/// Capacity that is left at an engine; negative if it is overcommitted.
struct free_capacity {
    int requests = 0;
    double memory_tokens = 0;
};

free_capacity capacity_left(const reservation_facts& facts, const settings::engine_capacity& capacity) {
    const double memory = capacity.kv_tokens > 0 ? static_cast<double>(capacity.kv_tokens)
                                                 : std::numeric_limits<double>::infinity();
    return {.requests = capacity.slots - facts.own.requests - facts.others.requests,
            .memory_tokens =
                memory - facts.own.memory_tokens - facts.others.memory_tokens - facts.unreported_tokens};
}

bool fits(const free_capacity& left, const instance_use& use) {
    return left.requests >= use.requests && left.memory_tokens >= use.memory_tokens;
}

/// Takes the requests of a host that fit, one by one: a host may keep some and move the others.
void take_what_fits(free_capacity& left, const instance_use& other) {
    const instance_use each = {.requests = 1, .memory_tokens = other.memory_tokens / other.requests};
    for (int request = 0; request < other.requests && fits(left, each); ++request) {
        left.requests -= each.requests;
        left.memory_tokens -= each.memory_tokens;
    }
}

bool do_organisations_differ(const settings::routing_settings& settings) {
    return std::ranges::any_of(settings.organisations, [&](const auto& item) {
        return item.second.priority != settings.organisations.begin()->second.priority;
    });
}

} // namespace

std::set<std::string> services_with_priorities(const settings::routing_settings& settings) {
    const bool do_all_differ = do_organisations_differ(settings);
    std::map<std::string, int> first_priority;
    std::set<std::string> services;
    for (const settings::route_entry& route : settings.routes) {
        for (const auto& used : route.services) {
            const auto [first, is_first] = first_priority.try_emplace(used.service, route.priority);
            if (do_all_differ || first->second != route.priority)
                services.insert(used.service);
        }
    }
    return services;
}

bool has_pace_in_use(const instance_table& table, const std::string& service) {
    return std::ranges::any_of(table.by_id, [&](const auto& item) {
        return item.second.pace.in_use != engine_pace{} && item.second.entry.service == service;
    });
}

std::uint64_t reservation_order(const base::host_id& host, const base::upstream_id& engine) {
    return base::hash64(host.value, base::hash64(engine.value));
}

instance_use added_use(const instance_use& before, const instance_use& now) {
    const int requests = now.requests - before.requests;
    if (requests <= 0)
        return {};
    return {.requests = requests, .memory_tokens = std::max(0.0, now.memory_tokens - before.memory_tokens)};
}

bool is_displaced(const reservation_facts& facts, const settings::engine_capacity& capacity) {
    free_capacity left = capacity_left(facts, capacity);
    // A request larger than the whole engine is admitted to an empty one.
    const bool is_alone =
        facts.own.requests + facts.others.requests <= facts.reserved.requests && facts.unreported_tokens == 0;
    if (is_alone || (left.requests >= 0 && left.memory_tokens >= 0))
        return false;
    // Take out what is not certain to stay: this reservation and the concurrent ones. Then place them in
    // order.
    left.requests += facts.reserved.requests;
    left.memory_tokens += facts.reserved.memory_tokens;
    std::vector<concurrent_reservation> ahead;
    for (const concurrent_reservation& other : facts.concurrent) {
        left.requests += other.added.requests;
        left.memory_tokens += other.added.memory_tokens;
        if (other.order < facts.order && other.added.requests > 0)
            ahead.push_back(other);
    }
    std::ranges::sort(ahead, {}, &concurrent_reservation::order);
    for (const concurrent_reservation& other : ahead)
        take_what_fits(left, other.added);
    return !fits(left, facts.reserved);
}

std::optional<engine_plan> choose_free_decode(const instance_table& table, choice_context context,
                                              const settings::engine_capacity& capacity,
                                              const prompt_size& size, const base::upstream_id& current,
                                              const base::zone_id& source_zone, std::mt19937_64& random) {
    context.excluded.insert(current);
    auto plan = choose_decode(table, context, capacity, size, source_zone, random);
    if (!plan || !plan->has_room)
        return std::nullopt;
    const instance& chosen = table.by_id.at(plan->decode);
    if (is_avoided(chosen, context.now) || !is_load_known(chosen, context.now))
        return std::nullopt;
    return plan;
}

const char* to_text(recheck_verdict verdict) {
    switch (verdict) {
    case recheck_verdict::kept:
        return "kept";
    case recheck_verdict::moved:
        return "moved";
    case recheck_verdict::none_is_free:
        return "none_is_free";
    }
    return "unknown";
}

} // namespace postpaddle::decision
