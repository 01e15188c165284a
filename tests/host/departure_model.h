// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <host/read_ending.h>

#include <array>
#include <cstdint>

/// Model without I/O of hosts that learn from the store, or from each other, which upstreams leave. Uses the
/// hosts' own decisions: what the ending of a read proves, whether the store was away, what a record changes,
/// whether a host may use what it knows, which upstreams may get work.
namespace postpaddle::test {

struct departure_plan {
    std::uint64_t seed = 0;
    int hosts = 6;
    int upstreams = 4;
    bool has_outages = true;      ///< The store is away for all hosts from time to time, and entries lapse.
    bool turns_hosts_away = true; ///< It turns some hosts away from time to time.
    bool has_departures = true;   ///< Upstreams leave, with and without a word.
    bool has_restarts = true;     ///< They start again under their id, with any start time.
    bool writes_late = true;      ///< Records of an earlier moment are written again, late.
    /// The store forgets its history from time to time, at times with records that no host has read, and with
    /// listings that are behind its log.
    bool forgets = true;
    /// Reads end without saying anything of the store, for one host, some, or all at once.
    bool has_unclear_endings = true;
    base::duration length = std::chrono::seconds(60);
};

struct departure_result {
    int late_uses = 0; ///< Times that a host could send later than the bound after the store took the word.
    base::duration latest{};
    int departures = 0; ///< Words given.
    int unserved = 0;   ///< Times that a host could send nothing although an upstream was there.
    int lapses = 0;
    int losses = 0; ///< Times that the store forgot its history.
    /// Number of reads by how they ended, in the order of `host::read_ending`.
    std::array<int, host::read_endings> endings{};
};

[[nodiscard]] departure_result run_departures(const departure_plan& plan);

} // namespace postpaddle::test
