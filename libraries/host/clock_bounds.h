// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace postpaddle::host {

/// When a message was sent, by the sender's monotonic clock.
struct send_stamp {
    /// Of the sender's process. Another incarnation's clock may have a different origin.
    std::uint64_t incarnation = 0;
    std::chrono::milliseconds sent{};

    bool operator==(const send_stamp&) const = default;
};

/// Bounds, by this host's clock, when messages of other hosts were sent at the earliest. Needs no
/// synchronized clocks, and holds however long a message was on its way.
///
/// An answer was sent after its question: if a process answers at its time s what this host asked at its own
/// time t, then whatever that process sends at s + d was sent at t + d or later.
struct clock_bounds {
    struct sender {
        std::uint64_t incarnation = 0;
        base::duration min_offset{};    ///< The own clock's reading less the sender's is at least this.
        base::time_point measured_at{}; ///< When the answer arrived.
    };

    std::map<base::host_id, sender> senders;
};

/// Records an answer that `host` stamped, to a question asked at `asked`. Keeps the tighter bound.
void record_answer(clock_bounds& bounds, const base::host_id& host, const send_stamp& answered,
                   base::time_point asked, base::time_point now);

/// Earliest time at which a message with that stamp can have been sent. Returns nothing before the first
/// answer of the sender's process.
[[nodiscard]] std::optional<base::time_point> earliest_send(const clock_bounds& bounds,
                                                            const base::host_id& host,
                                                            const send_stamp& stamp, base::time_point now);

} // namespace postpaddle::host
