// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <host/pool_balance.h>
#include <service/control_context.h>
#include <service/lease_controller.h>
#include <wire/connection_pool.h>

#include <map>
#include <optional>
#include <string>

namespace postpaddle::service {

/// Moves engines between the prefill and decode pools of a deployment on sustained imbalance: orders the
/// engine to change its role under a lease, then publishes the settings change. Runs only for deployments
/// that enable balancing, and only on the host that owns the deployment by rendezvous hashing.
class pool_controller {
public:
    pool_controller(control_context& control, lease_controller& leases);

    void start();

private:
    void watch(wire::yield_context yield);
    void check_balance(const settings::deployment_settings& deployment, wire::yield_context yield);
    [[nodiscard]] host::pool_load load_of(const std::string& deployment) const;
    void move(const settings::deployment_settings& deployment, host::pool_move direction,
              wire::yield_context yield);
    [[nodiscard]] bool send_role_order(const settings::upstream_settings& engine, const std::string& role,
                                       wire::yield_context yield);
    void publish(const settings::deployment_settings& deployment, const base::upstream_id& engine,
                 host::pool_move direction, wire::yield_context yield);

    control_context* control;
    lease_controller* leases;
    wire::connection_pool pool;
    std::map<std::string, host::balance_state> states;
};

} // namespace postpaddle::service
