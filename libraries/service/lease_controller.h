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
    std::uint64_t token = 0; ///< Goes with each order.
    base::time_point bid_at{};
    bool had_holder = false; ///< Another host held the resource before.

    bool operator==(const held_lease&) const = default;
};

/// Bids for leases in the log, and says whether one that was won may still be acted on.
class lease_controller {
public:
    explicit lease_controller(control_context& control) : control(&control) {}

    /// Bids for a resource unless somebody else's lease may still stand; empty when it was not won.
    [[nodiscard]] std::optional<held_lease> acquire(const std::string& resource, base::duration length,
                                                    wire::yield_context yield);
    /// Whether an order may still be given under a lease: it is the newest and has time left.
    [[nodiscard]] bool may_act(const std::string& resource, const held_lease& lease) const;

private:
    [[nodiscard]] bool catch_up(wire::yield_context yield);
    [[nodiscard]] std::string holder_name() const;

    control_context* control;
    host::lease_table table;
    host::lease_margins margins;
};

} // namespace postpaddle::service
