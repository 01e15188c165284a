// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <service/claim_controller.h>
#include <service/control_context.h>
#include <service/lease_controller.h>
#include <service/membership_controller.h>
#include <service/pool_controller.h>
#include <service/settings_controller.h>
#include <service/share_controller.h>
#include <service/upstream_controller.h>
#include <wire/http_listener.h>
#include <wire/json_rpc.h>

#include <atomic>
#include <functional>
#include <memory>
#include <thread>

namespace postpaddle::service {

/// Dependencies of the control thread, which must outlive it.
struct control_dependencies {
    const base::clock* clock = nullptr;
    const settings::process_settings* process = nullptr;
    settings_store* settings = nullptr;
    decision_controller* decision = nullptr;
    limit_controller* limits = nullptr;
    quarantine_registry* quarantine = nullptr;
    upstream_registry* upstreams = nullptr;
    claim_client* claims = nullptr;
    metrics* process_metrics = nullptr;
    std::uint64_t incarnation = 0;
};

/// Runs the controllers that communicate with the platform log, the other hosts and the engines this host
/// owns.
class control_thread {
public:
    explicit control_thread(const control_dependencies& dependencies);
    control_thread(const control_thread&) = delete;
    control_thread(control_thread&&) = delete;
    control_thread& operator=(const control_thread&) = delete;
    control_thread& operator=(control_thread&&) = delete;
    ~control_thread();

    /// Starts to listen for peers and returns the port.
    [[nodiscard]] wire::expected<std::uint16_t> listen();
    /// Sets the addresses announced to peers and starts the thread.
    void start(const std::string& peers_address, const std::string& operators_address);
    void stop();

    /// Whether settings are in force and current. Thread-safe.
    [[nodiscard]] bool is_ready() const { return this->ready; }
    /// Runs a function on the control thread and waits until it returns.
    void inspect(const std::function<void(const control_thread&)>& function);
    /// Announces to peers that this host drains or has left. Returns after it has tried a few peers.
    void announce_leaving(bool has_left);

    [[nodiscard]] const control_context& state() const { return this->control; }
    [[nodiscard]] const claim_controller& claims() const { return this->claim; }

private:
    void serve_peer(wire::caller_connection& connection, wire::yield_context yield);
    [[nodiscard]] wire::http_response handle_peer_request(const wire::http_request& request,
                                                          wire::yield_context yield);
    void watch_readiness(wire::yield_context yield);

    wire::asio::io_context context{1};
    wire::log_client log;
    wire::peer_client peers;
    control_context control;
    settings_controller settings;
    membership_controller membership;
    upstream_controller upstreams;
    share_controller shares;
    claim_controller claim;
    lease_controller leases;
    pool_controller pools;
    std::shared_ptr<wire::http_listener> listener;
    std::atomic<bool> ready{false};
    std::uint64_t reported_bytes = 0;
    std::thread thread;
};

} // namespace postpaddle::service
