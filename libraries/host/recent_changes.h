// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <decision/instance_table.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace postpaddle::host {

/// All changes of the registry within a range of offsets.
struct change_run {
    base::time_point at{};   ///< When the changes became known to this host.
    std::uint64_t since = 0; ///< Offset of the first record covered.
    std::uint64_t next = 0;  ///< Offset after the last record covered.
    std::vector<decision::registry_change> changes;

    bool operator==(const change_run&) const = default;
};

/// The latest registry changes without gaps, whether read from the store or received from another host.
/// These can be resent as the complete set of changes since an offset.
struct recent_changes {
    std::deque<change_run> runs; ///< Contiguous: each begins where the previous one ends.
};

/// Adds a run, without changes before its beginning. A run that does not continue the last one replaces all
/// others. Old runs are evicted, since a host that never resends them would otherwise keep every change.
void record_changes(recent_changes& recent, change_run run);

/// Splits a run into parts of at most `max_changes` changes, which follow each other without a gap.
[[nodiscard]] std::vector<change_run> split_run(const change_run& run, std::size_t max_changes);

/// All changes from `since` up to `next`; nothing if they are not known without gaps, or are more than
/// `max_changes`.
[[nodiscard]] std::optional<change_run> changes_since(const recent_changes& recent, std::uint64_t since,
                                                      std::uint64_t next, std::size_t max_changes);

/// Joins the latest runs not older than `oldest`, as many as hold at most `max_changes` changes. The result
/// ends at `next`, and is empty if the latest run does not.
[[nodiscard]] change_run changes_to_resend(const recent_changes& recent, std::uint64_t next,
                                           base::time_point oldest, std::size_t max_changes);

} // namespace postpaddle::host
