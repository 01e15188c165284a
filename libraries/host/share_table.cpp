// SPDX-License-Identifier: BSD-2-Clause
#include <host/share_table.h>

#include <algorithm>
#include <cmath>

namespace postpaddle::host {

namespace {

/// Fraction that is split equally, so that a host with sudden demand has a share available.
constexpr double equal_fraction = 0.2;
/// Fraction of an equal share that a host may use without a valid grant.
constexpr double fallback_fraction = 0.5;
constexpr base::duration idle_lifetime = std::chrono::seconds(30);

} // namespace

double grant_share(share_table& table, const std::string& key, const base::host_id& host, double demand,
                   std::size_t working_hosts, base::time_point now) {
    auto [position, is_new] = table.pools.try_emplace(key);
    share_pool& pool = position->second;
    if (is_new)
        pool.began = now;
    std::erase_if(pool.grants,
                  [&](const auto& item) { return item.first != host && item.second.until <= now; });
    share_grant& own = pool.grants[host];
    own.demand = std::max(0.0, demand);
    double total_demand = 0;
    double granted_to_others = 0;
    for (const auto& [other, grant] : pool.grants) {
        total_demand += grant.demand;
        if (other != host)
            granted_to_others += grant.share;
    }
    const double hosts = static_cast<double>(std::max<std::size_t>(1, working_hosts));
    const double by_demand = total_demand > 0 ? own.demand / total_demand : 1 / hosts;
    double wanted = equal_fraction / hosts + (1 - equal_fraction) * by_demand;
    // A previous owner's grants may still be valid.
    if (now - pool.began < share_lifetime)
        wanted = std::min(wanted, 1 / hosts);
    own.share = std::clamp(wanted, 0.0, std::max(0.0, 1 - granted_to_others));
    own.until = now + share_lifetime;
    return own.share;
}

void evict_idle(share_table& table, base::time_point now) {
    std::erase_if(table.pools, [now](const auto& item) {
        return std::ranges::all_of(item.second.grants, [now](const auto& grant) {
            return grant.second.until + idle_lifetime < now;
        });
    });
}

double usable_share(const held_share& held, std::size_t working_hosts, base::time_point now) {
    const double hosts = static_cast<double>(std::max<std::size_t>(1, working_hosts));
    if (!held.has_grant)
        return working_hosts <= 1 ? 1 : fallback_fraction / hosts;
    const double lifetimes = base::to_seconds(now - held.granted_at) / base::to_seconds(share_lifetime);
    if (lifetimes <= 1)
        return held.share;
    // The expired share decays, as a new owner may be granting it to other hosts.
    const double shrunk = held.share * std::exp2(1 - lifetimes);
    return std::max(shrunk, std::min(held.share, fallback_fraction / hosts));
}

} // namespace postpaddle::host
