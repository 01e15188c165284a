// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>
#include <decision/instance_table.h>
#include <host/peer_directory.h>

#include <compare>
#include <cstdint>
#include <map>
#include <random>
#include <set>

namespace postpaddle::host {

/// A group of hosts and the engines they prefer: an availability zone or a partition of one.
///
/// Hosts send their full load reports only to hosts of their own cell and to cells whose engines they use,
/// so the traffic a host receives grows with the cell size rather than with the total number of hosts.
/// Hosts with differing views may disagree on a cell; this makes load data less accurate but does not
/// affect correctness.
struct cell {
    base::zone_id zone;
    std::uint32_t part = 0; ///< Index of the partition within the zone, from 0.

    auto operator<=>(const cell&) const = default;
};

/// How hosts and engines are divided into cells. A small deployment has a single cell spanning all zones.
struct cell_plan {
    /// Number of partitions of each zone that has hosts; a power of two.
    std::map<base::zone_id, std::uint32_t> parts;
    bool is_single = true;

    bool operator==(const cell_plan&) const = default;
};

/// Maximum number of hosts in a cell. Every change of a host's load is sent to all other hosts of its cell.
/// Above the 58 to 87 hosts that were tested as a single group before there were cells, and below the number
/// at which the reports would use up a host's fraction of a core. Cells of 50 to 65 hosts took 0.017 of a
/// core on average, all work included; other sizes were not measured.
inline constexpr std::size_t max_hosts_per_cell = 96;

/// Divides the hosts that may be alive, including this one, into cells. A zone's partition count is lowered
/// only when a quarter of the partitions would suffice, so that hosts joining and leaving don't move
/// engines back and forth.
[[nodiscard]] cell_plan plan_cells(const peer_directory& directory, const base::zone_id& own_zone,
                                   const cell_plan& before, base::time_point now);

[[nodiscard]] cell cell_of_host(const cell_plan& plan, const base::host_id& host, const base::zone_id& zone);

/// The cell whose hosts track an engine's load. Engines in a zone without hosts are assigned to one of the
/// other zones by hash.
[[nodiscard]] cell cell_of_engine(const cell_plan& plan, const base::upstream_id& engine,
                                  const base::zone_id& zone);

/// Whether an instance is an engine that belongs to a cell other than `own`.
[[nodiscard]] bool is_remote_engine(const decision::instance& candidate, const cell_plan& plan,
                                    const cell& own);

/// Marks engines of other cells, whose load this host only partly knows. Must be called as soon as an
/// engine is added; otherwise hosts of all cells would treat it as idle and overload it.
void mark_remote_engines(decision::instance_table& table, const cell_plan& plan, const cell& own);

/// Hosts of the given host's cell that may be alive, including itself.
[[nodiscard]] std::vector<base::host_id> hosts_in(const cell_plan& plan, const peer_directory& directory,
                                                  const base::host_id& own, const base::zone_id& own_zone,
                                                  base::time_point now);

/// Picks up to `count` other cells at random, and returns the address of one random host of each.
[[nodiscard]] std::vector<std::string> sample_other_cells(const cell_plan& plan,
                                                          const peer_directory& directory, const cell& own,
                                                          std::size_t count, base::time_point now,
                                                          std::mt19937_64& random);

/// Addresses of the other hosts of the given cells that may be reachable.
[[nodiscard]] std::vector<std::string> addresses_in(const cell_plan& plan, const peer_directory& directory,
                                                    const std::set<cell>& cells, base::time_point now);

} // namespace postpaddle::host
