// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>

#include <cstddef>
#include <cstdint>
#include <map>

namespace postpaddle::host {

struct sender_rate_limiter_options {
    /// About three times the maximum rate of a healthy host, which sends load reports at most every 3 ms
    /// and store updates about ten times a second.
    double datagrams_per_second = 1'000;
    /// Burst size; allows for datagrams queued while this process was paused for half a second.
    double burst = 500;
    /// How long datagrams of a sender that exceeded the rate are dropped. Hosts repeat their reports every
    /// second, so a brief drop loses nothing for long.
    base::duration drop_period = std::chrono::seconds(1);
    /// Maximum number of tracked senders.
    std::size_t max_senders = 2'048;
};

/// Per-sender rate limiter for datagrams: keeps a misbehaving host from using up this host's CPU time. Not
/// thread-safe.
///
/// Applying a load report takes 3.3 us with 400 hosts and 400 engines (`meta/bench reports`); dropping one
/// takes a lookup in a map.
struct sender_rate_limiter {
    struct sender {
        double tokens = 0; ///< Datagrams that may still be accepted at once.
        base::time_point last_seen{};
        base::time_point ignored_until{};
    };

    std::map<std::uint64_t, sender> senders; ///< By a numeric form of the IP address.
};

/// What to do with a datagram.
enum class sender_verdict {
    accept,
    drop,
    start_dropping, ///< The first dropped datagram of a period, for logging.
};

/// Counts a datagram of the sender and returns what to do with it.
[[nodiscard]] sender_verdict check_sender(sender_rate_limiter& limiter,
                                          const sender_rate_limiter_options& options, std::uint64_t key,
                                          base::time_point now);

} // namespace postpaddle::host
