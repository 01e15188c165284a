// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <host/adaptive_timeout.h>

#include <optional>

namespace postpaddle::host {

/// One read of the store.
struct store_read {
    std::chrono::milliseconds wait{}; ///< How long the store may delay the answer to wait for a record.
    /// Timeout, in addition to `wait`, until the answer begins; then between two parts of it.
    std::chrono::milliseconds limit{};
    bool is_arriving = false; ///< Whether the answer has begun to arrive.

    bool operator==(const store_read&) const = default;
};

/// Fraction of the bound for which a read waits, on a host without followers.
inline constexpr double solo_wait_fraction = 0.6;
/// Fraction of the bound up to which a host's knowledge may age while a read waits. A read that a record ends
/// shows nothing later than its start, so the next one waits for less.
inline constexpr double max_waiting_age_fraction = 0.8;
/// Shortest interval between two short reads while the store is unavailable.
inline constexpr std::chrono::milliseconds min_probe_interval{500};

/// Keeps a host up to date with one topic of the store within a time bound, even if single reads fail.
///
/// While the store is available, one read is open at a time, waiting for a record. A read that was open
/// when the store became unavailable may never be answered, so it times out well within the bound. After
/// that, short reads without waiting are started at intervals, whether or not earlier ones have ended, so
/// that one of them starts soon after the store is back.
///
/// No read is started while an answer is arriving, since it would transfer the same records again over the
/// same link: with settings of 700 KB over 10 Mbit/s, a read every half second filled the link for ten
/// seconds and none completed.
struct store_reader {
    std::chrono::milliseconds bound{2'000}; ///< Maximum time until a record must be known.
    /// Fraction of the bound for which a read waits. The rest is left for detecting a timeout, for the next
    /// read, and for updates from other hosts.
    double wait_fraction = solo_wait_fraction;
    /// All records that the store had at this time are known. A read waits no longer than keeps this recent;
    /// unset if that doesn't matter.
    std::optional<base::time_point> known_until{};
    /// Interval between two short reads while the store is unavailable.
    std::chrono::milliseconds probe_interval = min_probe_interval;
    bool is_stale = false; ///< Nothing was read for a while: the next read must not wait for a record.
    adaptive_timeout timeout{.initial = std::chrono::milliseconds(400)};
    bool is_unavailable = false; ///< Whether the last read that ended failed.
    bool is_waiting = false;
    int probes_open = 0;
    int arriving = 0;             ///< Open reads whose answer has begun to arrive.
    base::time_point last_part{}; ///< When a part of an answer last arrived.
    base::time_point next_probe{};
    base::time_point newest_answered_begin{}; ///< Start of the most recently started read that was answered.
};

/// The read to start now, if one is due. It counts as open from then on.
[[nodiscard]] std::optional<store_read> next_read(store_reader& reader, base::time_point now);

/// Records that a part of the read's answer has arrived.
void did_receive_part(store_reader& reader, store_read& read, base::time_point now);

/// Whether an answer is arriving. A stalled answer does not count.
[[nodiscard]] bool is_arriving(const store_reader& reader, base::time_point now);

/// Records that a read started at `began` was answered. Returns whether the store was considered
/// unavailable before.
bool did_answer(store_reader& reader, const store_read& read, base::time_point began);

[[nodiscard]] int reads_open(const store_reader& reader);

enum class read_failure {
    no_answer, ///< Timeout or connection failure.
    refusal,   ///< The store answered with an error.
};

/// Records that a read started at `began` failed. Returns whether the store is considered unavailable as of
/// now.
bool did_fail(store_reader& reader, const store_read& read, read_failure failure, base::time_point began);

/// Interval at which to check whether a read is due.
inline constexpr std::chrono::milliseconds read_check_interval{500};

} // namespace postpaddle::host
