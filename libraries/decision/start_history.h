// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <settings/routing_settings.h>

#include <cstdint>
#include <optional>
#include <vector>

/// What the registry's records say of the starts of one upstream, in whatever order they come.
///
/// Records reach a host by several ways, out of order and repeatedly, an upstream may write one late, and its
/// clock may be set back between two starts. So the offset in the registry's log orders starts, the heartbeat
/// counter orders the records of one start, and the start time only tells starts apart.
namespace postpaddle::decision {

/// What is known of one start.
struct known_start {
    std::uint64_t start_time_ms = 0; ///< As in its registry entry; 0 if that has none.
    std::uint64_t sequence = 0;      ///< Highest heartbeat counter of its records.
    /// Offset of the first record with that counter; once it announced its shutdown, of the first record that
    /// says so, as nothing that it writes afterwards counts.
    std::uint64_t offset = 0;
    bool is_leaving = false; ///< It announced its shutdown, which is final.

    bool operator==(const known_start&) const = default;
};

struct start_history {
    std::vector<known_start> starts;         ///< Bounded; the latest ones.
    std::optional<std::uint64_t> removed_at; ///< Offset of the newest removal of the entry.

    bool operator==(const start_history&) const = default;
};

/// Merges an entry's record.
void record_entry(start_history& history, const settings::upstream_entry& entry, std::uint64_t offset);

/// Merges a record that removes the entry.
void record_removal(start_history& history, std::uint64_t offset);

/// Records that a start announced its shutdown otherwise than by a record.
void record_shutdown(start_history& history, const settings::upstream_entry& entry, std::uint64_t offset);

/// The latest start; null if none is known.
[[nodiscard]] const known_start* current_start(const start_history& history);

/// Whether the entry was removed after the newest record of the current start.
[[nodiscard]] bool is_removed(const start_history& history);

/// Whether the upstream is registered and not leaving.
[[nodiscard]] bool is_present(const start_history& history);

} // namespace postpaddle::decision
