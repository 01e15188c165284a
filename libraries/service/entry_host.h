// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <service/control_thread.h>
#include <service/operators_server.h>
#include <service/relay_worker.h>

#include <memory>
#include <string>
#include <vector>

namespace postpaddle::service {

/// Addresses that a host listens on, with the ports that were bound.
struct host_addresses {
    std::string callers;
    std::string operators;
    std::string peers;

    bool operator==(const host_addresses&) const = default;
};

/// Work that was still in progress when a planned stop ended.
struct stop_result {
    int requests_cut = 0;
    int releases_left = 0;

    bool operator==(const stop_result&) const = default;
};

/// An entry host: its control, decision, operators and relay threads and the state that they share.
class entry_host {
public:
    entry_host(const base::clock& clock, settings::process_settings process);
    entry_host(const entry_host&) = delete;
    entry_host(entry_host&&) = delete;
    entry_host& operator=(const entry_host&) = delete;
    entry_host& operator=(entry_host&&) = delete;
    ~entry_host();

    /// Listens on all addresses and starts all threads.
    [[nodiscard]] wire::expected<host_addresses> start();
    /// Planned stop: reports not ready, waits for the load balancer to notice, stops accepting, waits for
    /// requests to end, and announces that the host has left. All waiting ends once `should_hurry` returns
    /// true.
    stop_result drain(const std::function<bool()>& should_hurry);

private:
    [[nodiscard]] int remaining_work() const;

    const base::clock* clock;
    settings::process_settings process;
    std::uint64_t incarnation;
    settings_store settings;
    metrics process_metrics;
    limit_controller limits;
    quarantine_registry quarantine;
    upstream_registry upstreams;
    claim_client claims;
    decision_controller decision;
    control_thread control;
    operators_server operators;
    std::vector<std::unique_ptr<relay_worker>> workers;
};

} // namespace postpaddle::service
