// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>

#include <cstddef>
#include <map>
#include <optional>

/// Whether the store itself was away, so that registry entries may have lapsed although their upstreams live.
///
/// Hosts tell each other when their reads fail, but such a host may just be cut off from the store or turned
/// away by it. A host that the store answered all the while proves that the store was there, and that it took
/// what that host has read, however many others complain.
namespace postpaddle::host {

/// Span of time within which the store answered each read that a host made. Empty if its last read failed.
struct served_span {
    base::time_point since{};
    base::time_point until{};

    bool operator==(const served_span&) const = default;
};

struct outage_options {
    /// How long an outage is remembered: entries that lapsed during it are written again within this time.
    base::duration window{};
    /// Maximum age of a proof that the store is there. A host that waits for a record proves nothing
    /// meanwhile.
    base::duration max_proof_age{};
};

/// Another host that the store answered throughout a window.
struct outage_witness {
    base::host_id host;
    base::time_point until{}; ///< End of the span in which it was answered.

    bool operator==(const outage_witness&) const = default;
};

/// What a host knows of the store's trouble by its own reads and by what other hosts tell of theirs.
struct outage_evidence {
    served_span own{};
    std::optional<base::time_point> own_failed_at{};        ///< When an own read last failed.
    std::map<base::host_id, base::time_point> failing_at{}; ///< When other hosts last said that theirs fail.
    std::optional<outage_witness> witness{};
};

/// Records an own read that the store answered. A gap of more than the proof's age between two of them begins
/// a new span.
void record_served(outage_evidence& evidence, const outage_options& options, base::time_point now);

void record_failed(outage_evidence& evidence, base::time_point now);

/// Records that another host's reads fail.
void record_failing(outage_evidence& evidence, const base::host_id& host, base::time_point now);

/// Records the span in which the store answered another host, by this host's clock.
void record_span(outage_evidence& evidence, const outage_options& options, const base::host_id& host,
                 const served_span& span);

/// Whether the store itself was away within the window. Reads of a single host may fail because of its own
/// link or processor, so two must fail, unless this host knows no other.
[[nodiscard]] bool was_store_away(const outage_evidence& evidence, const outage_options& options,
                                  std::size_t other_hosts, base::time_point now);

} // namespace postpaddle::host
