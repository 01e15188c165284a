// SPDX-License-Identifier: BSD-2-Clause
#include <host/cell.h>

#include <base/hashing.h>

#include <algorithm>

namespace postpaddle::host {

namespace {

/// Separate seeds, so that a host and an engine of the same name hash independently.
constexpr std::uint64_t host_seed = 1;
constexpr std::uint64_t engine_seed = 2;

std::uint32_t parts_for(std::size_t hosts, std::uint32_t before) {
    std::uint32_t needed = 1;
    while (hosts > needed * max_hosts_per_cell)
        needed *= 2;
    // Hysteresis: keep twice the needed count, see the header.
    return before > needed && before <= needed * 2 ? before : needed;
}

cell part_of_zone(const cell_plan& plan, const base::zone_id& zone, std::string_view name,
                  std::uint64_t seed) {
    const auto found = plan.parts.find(zone);
    const std::uint32_t parts = found == plan.parts.end() ? 1 : found->second;
    return {zone, static_cast<std::uint32_t>(base::hash64(name, seed) % parts)};
}

} // namespace

cell_plan plan_cells(const peer_directory& directory, const base::zone_id& own_zone, const cell_plan& before,
                     base::time_point now) {
    std::map<base::zone_id, std::size_t> hosts = {{own_zone, 1}};
    std::size_t all = 1;
    for (const auto& [name, known] : directory.by_name) {
        if (!may_be_alive(known, now))
            continue;
        ++hosts[known.zone];
        ++all;
    }
    // Hysteresis: several cells are merged only when the hosts drop to half the limit.
    const std::size_t max_hosts_in_single_cell =
        before.is_single ? max_hosts_per_cell : max_hosts_per_cell / 2;
    cell_plan plan{.parts = {}, .is_single = all <= max_hosts_in_single_cell};
    for (const auto& [zone, count] : hosts) {
        const auto known = before.parts.find(zone);
        plan.parts[zone] = parts_for(count, known == before.parts.end() ? 1 : known->second);
    }
    return plan;
}

cell cell_of_host(const cell_plan& plan, const base::host_id& host, const base::zone_id& zone) {
    return plan.is_single ? cell{} : part_of_zone(plan, zone, host.value, host_seed);
}

cell cell_of_engine(const cell_plan& plan, const base::upstream_id& engine, const base::zone_id& zone) {
    if (plan.is_single || plan.parts.empty())
        return {};
    if (plan.parts.contains(zone))
        return part_of_zone(plan, zone, engine.value, engine_seed);
    const auto nearest = std::ranges::max_element(plan.parts, {}, [&engine](const auto& item) {
        return base::hash64(engine.value, base::hash64(item.first.value));
    });
    return part_of_zone(plan, nearest->first, engine.value, engine_seed);
}

std::vector<std::string> addresses_in(const cell_plan& plan, const peer_directory& directory,
                                      const std::set<cell>& cells, base::time_point now) {
    std::vector<std::string> addresses;
    for (const auto& [name, known] : directory.by_name)
        if (may_be_reachable(known, now) && cells.contains(cell_of_host(plan, name, known.zone)))
            addresses.push_back(known.address);
    return addresses;
}

void mark_remote_engines(decision::instance_table& table, const cell_plan& plan, const cell& own) {
    for (auto& [id, known] : table.by_id)
        known.is_remote = is_remote_engine(known, plan, own);
}

bool is_remote_engine(const decision::instance& candidate, const cell_plan& plan, const cell& own) {
    const settings::upstream_entry& entry = candidate.entry;
    return entry.stage != settings::engine_stage::none &&
           cell_of_engine(plan, entry.id, entry.availability_zone) != own;
}

std::vector<base::host_id> hosts_in(const cell_plan& plan, const peer_directory& directory,
                                    const base::host_id& own, const base::zone_id& own_zone,
                                    base::time_point now) {
    std::vector<base::host_id> hosts = {own};
    const cell host_cell = cell_of_host(plan, own, own_zone);
    for (const auto& [name, known] : directory.by_name)
        if (may_be_alive(known, now) && cell_of_host(plan, name, known.zone) == host_cell)
            hosts.push_back(name);
    return hosts;
}

std::vector<std::string> sample_other_cells(const cell_plan& plan, const peer_directory& directory,
                                            const cell& own, std::size_t count, base::time_point now,
                                            std::mt19937_64& random) {
    std::map<cell, std::vector<std::string>> others;
    for (const auto& [name, known] : directory.by_name)
        if (const cell host_cell = cell_of_host(plan, name, known.zone);
            host_cell != own && may_be_alive(known, now))
            others[host_cell].push_back(known.address);
    std::vector<const std::vector<std::string>*> groups;
    groups.reserve(others.size());
    for (const auto& [host_cell, addresses] : others)
        groups.push_back(&addresses);
    std::vector<std::string> sampled;
    std::ranges::shuffle(groups, random);
    groups.resize(std::min(groups.size(), count));
    for (const auto* addresses : groups)
        std::ranges::sample(*addresses, std::back_inserter(sampled), 1, random);
    return sampled;
}

} // namespace postpaddle::host
