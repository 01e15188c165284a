// SPDX-License-Identifier: BSD-2-Clause
#include <decision/traffic_split.h>

#include <base/hashing.h>

#include <algorithm>
#include <cmath>

namespace postpaddle::decision {

namespace {

/// Deviation of a version's share from its share of the capacity at which a new split is due. A smaller one
/// moves more keys, each of which then needs records.
constexpr double max_share_deviation = 0.1;

/// The version with the lowest value is preferred. An exponential variate with the weight as its rate.
double preference_value(const std::string& version, std::uint32_t weight, std::uint64_t key) {
    constexpr int mantissa_bits = 53;
    constexpr int dropped_bits = 64 - mantissa_bits;
    const auto drawn = static_cast<double>(base::hash64(version, key) >> dropped_bits);
    const double uniform = (drawn + 1) / std::ldexp(1.0, mantissa_bits);
    return -std::log(uniform) / weight;
}

double share_of(const std::map<std::string, std::uint32_t>& weights, const std::string& version) {
    double sum = 0;
    for (const auto& [other, weight] : weights)
        sum += weight;
    const auto found = weights.find(version);
    return found == weights.end() || sum == 0 ? 0 : found->second / sum;
}

bool has_version(const traffic_split& split, const std::string& version) {
    return split.weights.contains(version);
}

} // namespace

std::vector<std::string> versions_by_preference(const traffic_split& split, std::uint64_t key) {
    std::vector<std::pair<double, std::string>> valued;
    for (const auto& [version, weight] : split.weights)
        if (weight > 0)
            valued.emplace_back(preference_value(version, weight, key), version);
    std::ranges::sort(valued);
    std::vector<std::string> versions;
    versions.reserve(valued.size());
    for (auto& [value, version] : valued)
        versions.push_back(std::move(version));
    return versions;
}

std::set<std::string> assigned_versions(const split_history& history, std::uint64_t key) {
    std::set<std::string> versions;
    for (const traffic_split& split : history.splits) {
        const auto preferred = versions_by_preference(split, key);
        if (!preferred.empty())
            versions.insert(preferred.front());
    }
    return versions;
}

bool is_derivable(const split_history& history, std::uint64_t key, const std::string& version) {
    return !history.splits.empty() && assigned_versions(history, key) == std::set<std::string>{version};
}

std::set<std::string> versions_in(const split_history& history) {
    std::set<std::string> versions;
    for (const traffic_split& split : history.splits)
        for (const auto& [version, weight] : split.weights)
            versions.insert(version);
    return versions;
}

bool has_several_versions(const split_history& history) { return versions_in(history).size() > 1; }

std::optional<traffic_split> next_split(const std::optional<traffic_split>& newest,
                                        const std::map<std::string, std::uint32_t>& capacity) {
    traffic_split wanted;
    for (const auto& [version, weight] : capacity)
        if (weight > 0)
            wanted.weights.emplace(version, weight);
    // Without any upstream, whatever comes next decides.
    if (wanted.weights.empty())
        return std::nullopt;
    if (!newest)
        return wanted;
    const bool has_new = std::ranges::any_of(
        wanted.weights, [&](const auto& share) { return !has_version(*newest, share.first); });
    const bool has_lost = std::ranges::any_of(
        newest->weights, [&](const auto& share) { return !has_version(wanted, share.first); });
    const bool deviates = std::ranges::any_of(wanted.weights, [&](const auto& share) {
        return std::abs(share_of(wanted.weights, share.first) - share_of(newest->weights, share.first)) >
               max_share_deviation;
    });
    return has_new || has_lost || deviates ? std::optional(wanted) : std::nullopt;
}

} // namespace postpaddle::decision
