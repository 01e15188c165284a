// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace postpaddle::decision {

/// A caller for whom the host buffers response data.
struct unsent_reader {
    base::organisation_id organisation; ///< Empty if its request names none.
    std::uint64_t bytes = 0;
    base::time_point behind_since{}; ///< When the oldest of these bytes was buffered.
};

/// What the bound of a host is derived from.
struct host_memory {
    std::optional<std::uint64_t> limit_bytes{}; ///< Of the process; nullopt if it has none.
    std::uint64_t connections = 0;              ///< Maximum number of concurrent connections.
};

/// Largest amount of unsent response data on a host, in bytes.
[[nodiscard]] std::uint64_t unsent_bound(const host_memory& memory);

/// Largest amount of what a host collects of bodies, in bytes, for each direction.
[[nodiscard]] std::uint64_t collected_bound(const host_memory& memory);
/// What that may become where a single message needs more, in bytes.
[[nodiscard]] std::uint64_t max_collected_bound(const host_memory& memory);

/// Unsent data by organisation, in bytes; only organisations that hold any.
using unsent_sums = std::map<base::organisation_id, std::uint64_t>;

[[nodiscard]] unsent_sums sum_unsent(const std::vector<unsent_reader>& readers);

/// An organisation's bound: its equal part of the host's bound among the organisations that hold unsent data.
/// It applies while the host's bound is exceeded, so an organisation may use what others leave.
[[nodiscard]] std::uint64_t organisation_unsent_bound(const unsent_sums& sums, std::uint64_t host_bound);

/// A reader that has been behind for less is never disconnected. Shorter delays are the network's: a
/// retransmission or two, or the time that a large answer takes on its way.
inline constexpr base::duration min_time_behind = std::chrono::seconds(1);

/// Indices of the readers to disconnect so that the rest fits into the host's bound. Each is the one that has
/// been behind longest, of the organisation that holds most at that point; a reader whose data still fits
/// after all others have been chosen is kept. An organisation that holds no more than its bound loses none.
/// The rest may exceed the bound if readers have not been behind for `min_time_behind`.
[[nodiscard]] std::vector<std::size_t> readers_to_disconnect(const std::vector<unsent_reader>& readers,
                                                             std::uint64_t host_bound, base::time_point now);

/// When the next reader will have been behind for `min_time_behind`, but no later than after that time.
[[nodiscard]] base::time_point next_candidate_at(const std::vector<unsent_reader>& readers,
                                                 base::time_point now);

} // namespace postpaddle::decision
