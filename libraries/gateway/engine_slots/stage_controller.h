// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/stage_balance.h>
#include <gateway/gateway_state.h>
#include <host/lease_table.h>

#include <map>
#include <optional>
#include <string>

namespace postpaddle::gateway {

/// Balances engines between the prefill and decode stages.
///
/// Every host computes the balance. Only the holder of a lease gives orders, so that no two hosts do so at
/// once. The lease is a conditional record in the store, and its fencing token is part of each order. It is
/// not renewed: a host with further orders acquires it again.
class stage_controller {
public:
    stage_controller(gateway_state& state, ports::control_feed& feed);

    void start();

private:
    /// A lease acquired by this host.
    struct own_lease {
        host::lease_entry entry;
        base::time_point requested_at{}; ///< Taken before the record was sent.
        base::time_point valid_from{};   ///< Orders of the previous holder have ended by then.
    };

    void run(wire::yield_context yield);
    void pause(base::duration length, wire::yield_context yield);
    /// Number of the service's engines that should change to decode (negative: to prefill).
    [[nodiscard]] int due_changes(const settings::service_entry& service) const;
    /// Checks one service and orders changes that have been due for long enough.
    void balance(const settings::service_entry& service, wire::yield_context yield);
    /// How long a change must have been due before this host orders it. Staggered by host, so that they try
    /// one after the other.
    [[nodiscard]] base::duration order_delay() const;
    /// Acquires the lease, unless another one may still be valid; returns whether it succeeded.
    bool try_take_lease(wire::yield_context yield);
    /// Records the current holder; returns whether that lease has certainly ended.
    bool is_free(const std::optional<ports::lease_record>& newest);
    void send_orders(const settings::service_entry& service, int count, wire::yield_context yield);
    /// Sends an order to one engine; returns whether further orders may follow under this lease.
    bool send_order(const settings::service_entry& service, const base::upstream_id& engine,
                    settings::engine_stage stage, wire::yield_context yield);
    [[nodiscard]] bool may_order() const;

    gateway_state* state;
    ports::control_feed* feed;
    std::map<std::string, base::time_point> due_since; ///< By service.
    std::uint64_t own_token = 0;                      ///< Token of the lease that this process acquired last.
    std::optional<host::lease_entry> last_seen_lease; ///< The last lease read, from any holder.
    std::optional<own_lease> lease;
};

} // namespace postpaddle::gateway
