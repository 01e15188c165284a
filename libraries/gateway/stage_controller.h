// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/stage_balance.h>
#include <gateway/gateway_state.h>
#include <host/lease_table.h>

#include <map>
#include <optional>
#include <string>

namespace postpaddle::gateway {

/// Keeps the balance between the engines that read prompts and those that decode.
///
/// Every host weighs the balance, and the one that gives an order takes the lease on orders before, so that
/// no two hosts order at a time. The lease is a conditional record in the store and its token goes with each
/// order; it is never renewed: a host that has more to order takes it again.
class stage_controller {
public:
    stage_controller(gateway_state& state, ports::control_feed& feed);

    void start();

private:
    /// A lease that this host has taken.
    struct own_lease {
        host::lease_entry entry;
        base::time_point bid_at{};      ///< Before the record was sent.
        base::time_point orders_from{}; ///< Orders of the holder before are surely done by then.
    };

    void run(wire::yield_context yield);
    void pause(base::duration length, wire::yield_context yield);
    /// Engines of the service that ought to change to decode (below zero: to prefill).
    [[nodiscard]] int due_changes(const settings::service_entry& service) const;
    /// Looks at one service, and orders what has been due for long enough.
    void balance(const settings::service_entry& service, wire::yield_context yield);
    /// How long a change is due before this host orders it: hosts try one after the other.
    [[nodiscard]] base::duration own_patience() const;
    /// Takes the lease, unless another's may still be in force; says whether it is this host's.
    bool try_take_lease(wire::yield_context yield);
    /// Notes who holds the lease; says whether that lease is surely over.
    bool is_free(const std::optional<ports::lease_record>& newest);
    void give_orders(const settings::service_entry& service, int count, wire::yield_context yield);
    /// Orders one engine; says whether more may be ordered under this lease.
    bool give_order(const settings::service_entry& service, const base::upstream_id& engine,
                    settings::engine_stage stage, wire::yield_context yield);
    [[nodiscard]] bool may_order() const;

    gateway_state* state;
    ports::control_feed* feed;
    std::map<std::string, base::time_point> due_since; ///< By service.
    std::uint64_t own_token = 0;                       ///< Of the lease that this process took last.
    std::optional<host::lease_entry> seen;             ///< The last lease read, whoever holds it.
    std::optional<own_lease> lease;
};

} // namespace postpaddle::gateway
