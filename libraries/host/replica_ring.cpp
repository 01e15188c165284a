// SPDX-License-Identifier: BSD-2-Clause
#include <host/replica_ring.h>

#include <base/hashing.h>

#include <algorithm>

namespace postpaddle::host {

namespace {

/// Points of each host, which even out the hosts' shares of the keys.
constexpr std::uint64_t points_per_host = 16;

void add_points(replica_ring& ring, const base::host_id& host) {
    for (std::uint64_t number = 0; number < points_per_host; ++number)
        ring.points.push_back({base::hash64(host.value, number), host});
}

bool is_eligible(const peer& known, const replica_query& query) {
    const bool is_allowed = !query.allowed_zones || query.allowed_zones->contains(known.zone);
    return is_allowed && may_be_alive(known, query.now);
}

} // namespace

replica_ring make_replica_ring(const peer_directory& directory, const base::host_id& own) {
    replica_ring ring{.points = {}, .hosts = directory.by_name.size()};
    ring.points.reserve((ring.hosts + 1) * points_per_host);
    add_points(ring, own);
    for (const auto& [host, known] : directory.by_name)
        add_points(ring, host);
    std::ranges::sort(ring.points, {}, &replica_ring::point::position);
    return ring;
}

std::vector<base::host_id> hosts_to_ask(const replica_ring& ring, const peer_directory& directory,
                                        const replica_query& query) {
    std::vector<base::host_id> chosen;
    auto point = std::ranges::lower_bound(ring.points, query.key, {}, &replica_ring::point::position);
    for (std::size_t step = 0; step < ring.points.size() && chosen.size() < asked_count; ++step, ++point) {
        if (point == ring.points.end())
            point = ring.points.begin();
        const auto known = directory.by_name.find(point->host);
        if (known == directory.by_name.end() || !is_eligible(known->second, query) ||
            std::ranges::find(chosen, point->host) != chosen.end())
            continue;
        chosen.push_back(point->host);
    }
    return chosen;
}

std::vector<base::host_id> choose_replicas(const replica_ring& ring, const peer_directory& directory,
                                           const replica_query& query, std::size_t count) {
    std::vector<base::host_id> left = hosts_to_ask(ring, directory, query);
    std::vector<base::host_id> chosen;
    std::set<base::zone_id> zones;
    while (!left.empty() && chosen.size() < count) {
        auto next = std::ranges::find_if(left, [&](const base::host_id& host) {
            return !zones.contains(directory.by_name.at(host).zone);
        });
        if (next == left.end()) {
            zones.clear();
            continue;
        }
        zones.insert(directory.by_name.at(*next).zone);
        chosen.push_back(*next);
        left.erase(next);
    }
    return chosen;
}

} // namespace postpaddle::host
