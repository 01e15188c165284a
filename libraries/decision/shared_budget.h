// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace postpaddle::decision {

/// Retry budget of a service, shared by all hosts.
struct shared_budget_options {
    double ratio = 0.2;      ///< Retries per request.
    double slack = 20;       ///< Additional retries of all hosts together.
    base::duration window{}; ///< The limit holds in any time span of this length.
    int hosts = 1;           ///< Hosts that share the slack: an upper bound of those alive.
    int rank = 0;            ///< Of this host, unique among all hosts or within its cell.

    bool operator==(const shared_budget_options&) const = default;
};

/// Retries and requests of a short span of time.
struct budget_slot {
    double net = 0; ///< Retries minus those that requests added.
    /// The largest net of any span that begins within the slot and ends with it; 0 at least.
    double peak = 0;

    bool operator==(const budget_slot&) const = default;
};

/// This host's share of the retry budget, which hosts share without a message per request.
///
/// In every time span up to the window, the host's retries are at most its share of the slack and the ratio
/// of its own requests in that span. The shares of all hosts add up to the slack at most, so the limit holds
/// for all hosts together, however callers move between them. A new process doesn't know what its predecessor
/// spent, and counts the whole share as spent when it starts.
///
/// A retry is held before its request is sent, and spent once the request has reached its upstream. It may
/// arrive at any time between, so it is in each of these spans as long as it is held.
struct shared_budget {
    /// One more than the slots of a window, as the newest one is incomplete.
    static constexpr std::size_t slot_count = 51;

    std::array<budget_slot, slot_count> slots{}; ///< By number, modulo their count.
    std::int64_t newest = 0;                     ///< Number of the newest slot, from the clock's epoch.
    base::duration window{};                     ///< That the slots divide.
    base::time_point started{};                  ///< Start of the process, or of the window's length.
    int held = 0;

    bool operator==(const shared_budget&) const = default;
};

/// Counts a request from a caller.
void record_request(shared_budget& budget, const shared_budget_options& options, base::time_point now);

/// Retries that this host may hold now, in addition to those that it holds.
[[nodiscard]] double retries_left(const shared_budget& budget, const shared_budget_options& options,
                                  base::time_point now);

/// Whether more than half of the host's share is in use, so that requests should be sent in the way that
/// takes the fewest retries.
[[nodiscard]] bool is_scarce(const shared_budget& budget, const shared_budget_options& options,
                             base::time_point now);

/// Holds retries for sends that are still to come, all of them or none; returns whether it did.
[[nodiscard]] bool try_hold(shared_budget& budget, const shared_budget_options& options, int count,
                            base::time_point now);

/// Spends a held retry: its request has reached an upstream, or may have.
void spend_held(shared_budget& budget, const shared_budget_options& options, base::time_point now);

/// Returns held retries of sends that were not made or don't count.
void release_held(shared_budget& budget, int count);

} // namespace postpaddle::decision
