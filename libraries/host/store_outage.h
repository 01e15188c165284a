// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>
#include <host/read_ending.h>

#include <cstddef>
#include <map>
#include <optional>

/// Whether the store itself was away, so that registry entries may have lapsed although their upstreams live.
///
/// It rests on what the endings of reads prove, and on nothing else. Hosts tell each other when the store
/// does not serve them, but such a host may just be cut off from the store or turned away by it. A host to
/// which the store was there all the while proves that it took what that host has read, however many others
/// complain.
namespace postpaddle::host {

/// Span of time within which no read of a host proved that the store was away, and reads that proved that it
/// was there followed each other closely. Empty since the last read that proved the opposite.
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

/// What a host knows of the store's trouble by its own reads and by what other hosts tell of theirs.
struct outage_evidence {
    served_span own{};
    std::optional<base::time_point> own_absence_at{}; ///< When an own read last proved that it was away.
    /// When other hosts last said so of their own reads.
    std::map<base::host_id, base::time_point> absences_told{};
    /// Span in which the store was there to one host or another at each time, this one included.
    served_span known{};
};

/// Records how an own read ended. A gap of more than the proof's age between two that prove that the store
/// was there begins a new span.
void record_read(outage_evidence& evidence, const outage_options& options, read_ending ending,
                 base::time_point now);

/// Whether this host tells others that the store is away: the last of its own reads that proved anything
/// proved that, within the window. A host that follows others may have read nothing since.
[[nodiscard]] bool is_absence_told(const outage_evidence& evidence, const outage_options& options,
                                   base::time_point now);

/// Records that another host told of the store's absence.
void record_absence(outage_evidence& evidence, const base::host_id& host, base::time_point now);

/// Records a span in which the store was there to some host, by this host's clock. Spans that overlap make
/// one: while the store is away, none of any host does.
void record_presence(outage_evidence& evidence, const served_span& span);

/// Whether the store itself was away within the window. Reads of a single host may fail because of its own
/// link or processor, so two must fail, unless this host knows no other.
[[nodiscard]] bool was_store_away(const outage_evidence& evidence, const outage_options& options,
                                  std::size_t other_hosts, base::time_point now);

} // namespace postpaddle::host
