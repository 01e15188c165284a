// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <host/quarantine.h>
#include <ports/control_feed.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace postpaddle::gateway {

/// Reports of a host about requests suspected of crashing upstreams.
struct quarantine_message {
    base::host_id host;
    std::vector<host::suspect_report> reports;

    bool operator==(const quarantine_message&) const = default;
};

/// Encodes a datagram (MessagePack); times are encoded as ages.
[[nodiscard]] std::string encode_quarantine(const quarantine_message& message, base::time_point now);

/// Returns nothing if the datagram is malformed.
[[nodiscard]] std::optional<quarantine_message> decode_quarantine(std::string_view bytes,
                                                                  base::time_point now);

/// Encodes a report as a note for the store (JSON). The key contains the host's name, so that notes of
/// partitioned hosts add up. Times are wall-clock times, as the note outlives the host.
[[nodiscard]] ports::quarantine_note encode_quarantine_note(const host::suspect_report& report,
                                                            const base::host_id& writer,
                                                            const base::clock& clock);

/// Returns nothing if the note was deleted or is malformed.
[[nodiscard]] std::optional<host::suspect_report> decode_quarantine_note(const ports::quarantine_note& note,
                                                                         const base::clock& clock);

} // namespace postpaddle::gateway
