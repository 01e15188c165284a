// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>
#include <host/peer_directory.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace postpaddle::host {

/// Consistent hashing of keys to hosts. Hosts with slightly different views choose nearly the same hosts for
/// a key, and the cost of a choice does not grow with the number of hosts.
/// Source: Karger et al., "Consistent Hashing and Random Trees" (1997).
struct replica_ring {
    struct point {
        std::uint64_t position = 0;
        base::host_id host;
    };
    std::vector<point> points; ///< Sorted by position; several for each host.
    std::size_t hosts = 0;     ///< Number of hosts in the directory it was made from.
};

/// Makes the ring of all other hosts and this one.
[[nodiscard]] replica_ring make_replica_ring(const peer_directory& directory, const base::host_id& own);

/// Hosts that records of a key are told to, and that are asked for it.
struct replica_query {
    std::uint64_t key = 0;
    /// Zones whose hosts may hold the record; none: all.
    std::optional<std::set<base::zone_id>> allowed_zones{};
    base::time_point now{};
};

/// Number of hosts asked for a key's record: they include those told, unless many hosts have joined since.
inline constexpr std::size_t asked_count = 8;

/// Up to `count` hosts to hold the key's record: of the first `asked_count`, those of different zones first.
[[nodiscard]] std::vector<base::host_id> choose_replicas(const replica_ring& ring,
                                                         const peer_directory& directory,
                                                         const replica_query& query, std::size_t count);

/// The first `asked_count` hosts in the key's order.
[[nodiscard]] std::vector<base::host_id>
hosts_to_ask(const replica_ring& ring, const peer_directory& directory, const replica_query& query);

} // namespace postpaddle::host
