// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>
#include <decision/start_history.h>
#include <settings/routing_settings.h>

#include <cstdint>
#include <map>
#include <optional>

/// Tombstones of upstreams that left or whose registry entry has gone.
///
/// Records of the registry reach a host by several ways, out of order and repeatedly, and an upstream may
/// write one late. Without a tombstone such a record would list an upstream again that is known to leave. A
/// tombstone is kept for as long as any record about its upstream may still come.
namespace postpaddle::decision {

/// Tombstone of an upstream.
struct departed_start {
    start_history history;
    std::uint64_t offset = 0; ///< Of the newest registry record about it.
    /// When a search for old tombstones first met it.
    std::optional<base::time_point> met_at{};

    bool operator==(const departed_start&) const = default;
};

struct departed_starts {
    std::map<base::upstream_id, departed_start> by_id;
    base::time_point expired_at{}; ///< When old tombstones were last dropped.
};

/// A registry record about an upstream; without an entry, the record removes it.
struct departed_record {
    const base::upstream_id& id;
    const std::optional<settings::upstream_entry>& entry;
    std::uint64_t offset = 0;
};

/// Merges a record into its upstream's tombstone, if there is one. Returns the upstream's history and drops
/// the tombstone if the record shows that the upstream is there: it is about a later start, or about one
/// whose entry only lapsed.
[[nodiscard]] std::optional<start_history> try_restore(departed_starts& departed,
                                                       const departed_record& record);

/// Adds or replaces a tombstone.
void record_departed(departed_starts& departed, const base::upstream_id& id, departed_start tombstone);

/// Drops tombstones that are old.
void drop_old(departed_starts& departed, base::time_point now);

} // namespace postpaddle::decision
