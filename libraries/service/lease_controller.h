// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <host/lease_table.h>
#include <service/control_context.h>

#include <map>
#include <optional>
#include <string>

namespace postpaddle::service {

/// A lease that this host holds.
struct held_lease {
    std::uint64_t token = 0;   ///< Fencing token, sent with each order.
    base::time_point bid_at{}; ///< Just before the bid was sent; the lease's duration counts from here.
    bool had_holder = false;   ///< Another host held the resource before.

    bool operator==(const held_lease&) const = default;
};

/// Bids for leases through the log and tracks whether the leases won are still valid.
class lease_controller {
public:
    explicit lease_controller(control_context& control) : control(&control) {}

    /// Bids for a resource unless another host's lease may still be valid. Empty if the bid was not sent or
    /// did not win.
    [[nodiscard]] std::optional<held_lease> acquire(const std::string& resource, base::duration length,
                                                    wire::yield_context yield);
    /// Whether an order may still be issued under a lease: it is the current one and has not expired.
    [[nodiscard]] bool may_act(const std::string& resource, const held_lease& lease) const;

private:
    [[nodiscard]] bool catch_up(wire::yield_context yield);
    [[nodiscard]] std::string holder_name() const;

    control_context* control;
    host::lease_table table;
    host::lease_margins margins;
};

} // namespace postpaddle::service
