// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace postpaddle::host {

/// A bid for a lease as recorded in the log. Its offset is the fencing token.
struct lease_bid {
    std::string resource;
    std::string holder;               ///< Host and incarnation.
    std::uint64_t previous_token = 0; ///< Token of the lease that the bidder considers expired; 0 for none.
    std::int64_t duration_milliseconds = 0;

    bool operator==(const lease_bid&) const = default;
};

/// The current lease on a resource.
struct lease_entry {
    std::uint64_t token = 0;
    std::string holder;
    base::duration length{};
    base::time_point read_at{}; ///< When this host read the record, which is never before the lease began.

    bool operator==(const lease_entry&) const = default;
};

/// State of all leases. Offsets alone decide which bid wins, so all hosts agree.
struct lease_table {
    std::uint64_t next_offset = 1;
    std::map<std::string, lease_entry> entries;
    std::uint64_t malformed_records = 0;
};

/// Safety margins for lease expiry.
struct lease_margins {
    /// Maximum relative clock drift over a lease.
    double clock_rate = 0.02;
    /// Maximum delay between the holder's last expiry check and the arrival of its order.
    base::duration order_delay{std::chrono::milliseconds(200)};
    /// Maximum process pause to tolerate; applies to upstreams that do not check fencing tokens.
    base::duration max_pause{std::chrono::seconds(10)};
};

/// Serializes a bid to JSON.
[[nodiscard]] std::string encode_bid(const lease_bid& bid);
/// Parses a bid from JSON; empty if malformed.
[[nodiscard]] std::optional<lease_bid> decode_bid(const std::string& payload);

/// Applies the record at `offset`. A bid wins if its previous token is the one in force.
void apply_lease_bid(lease_table& table, std::uint64_t offset, const std::string& payload,
                     base::time_point now);

/// Whether another host may bid: the lease has expired even if this host's clock runs fast.
[[nodiscard]] bool is_expired(const lease_entry& entry, const lease_margins& margins, base::time_point now);

/// Whether the holder may still issue orders. `bid_at` is the time just before it sent its bid.
[[nodiscard]] bool may_issue_orders(const lease_entry& entry, base::time_point bid_at,
                                    const lease_margins& margins, base::time_point now);

/// How long a new holder waits before its first order: zero if the upstream checks fencing tokens,
/// otherwise long enough to outlast a pause of the previous holder.
[[nodiscard]] base::duration wait_before_orders(bool upstream_checks, bool had_holder,
                                                const lease_margins& margins);

/// Required spacing between the orders of two holders.
struct order_pacing {
    base::duration min_pause{}; ///< Between the last order of one holder and the first order of the next.
    bool do_upstreams_check_tokens = false; ///< Whether upstreams reject orders with an outdated token.

    bool operator==(const order_pacing&) const = default;
};

/// How long a holder waits before its first order if the lease had a different holder before.
[[nodiscard]] base::duration pause_between_holders(const order_pacing& pacing, const lease_margins& margins);

/// Length of a lease; the same value for its holder and for hosts waiting for it to expire. Leaves room for
/// the initial pause and for a few orders.
[[nodiscard]] base::duration lease_length(const order_pacing& pacing, const lease_margins& margins);

} // namespace postpaddle::host
