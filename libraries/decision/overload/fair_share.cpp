// SPDX-License-Identifier: BSD-2-Clause
#include <decision/overload/fair_share.h>

#include <algorithm>

namespace postpaddle::decision {

double max_min_level(std::vector<share_demand> demands, double capacity) {
    const auto per_weight = [](const share_demand& demand) { return demand.amount / demand.weight; };
    double total_weight = 0;
    for (const share_demand& demand : demands)
        total_weight += demand.weight;
    // 1. Raise the common level until the smallest demand is satisfied.
    std::ranges::sort(demands, {}, per_weight);
    double remaining = capacity;
    for (const share_demand& next : demands) {
        // 2. If the remaining capacity can't satisfy the next demand, divide it by weight.
        if (per_weight(next) * total_weight >= remaining)
            return remaining / total_weight;
        // 3. Otherwise satisfy that demand fully and remove it.
        remaining -= next.amount;
        total_weight -= next.weight;
    }
    return std::numeric_limits<double>::infinity();
}

fair_shares make_fair_shares(share_amounts in_use, const share_amounts& waiting, double capacity) {
    share_amounts demanded = in_use;
    for (const auto& [key, tokens] : waiting)
        demanded[key] += tokens;
    std::vector<share_demand> demands;
    demands.reserve(demanded.size());
    for (const auto& [key, tokens] : demanded)
        if (tokens > 0)
            demands.push_back({.amount = tokens});
    return {.in_use = std::move(in_use), .level = max_min_level(std::move(demands), std::max(0.0, capacity))};
}

double tokens_in_use(const fair_shares& shares, std::uint32_t key) {
    const auto found = shares.in_use.find(key);
    return found == shares.in_use.end() ? 0 : found->second;
}

bool is_beyond_share(const fair_shares& shares, double taken, double tokens) {
    return taken > 0 && taken + tokens / 2 > shares.level;
}

} // namespace postpaddle::decision
