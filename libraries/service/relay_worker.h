// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <host/owner.h>
#include <service/release_controller.h>
#include <service/request_context.h>
#include <settings/process_settings.h>
#include <wire/http_listener.h>

#include <atomic>
#include <map>
#include <memory>
#include <thread>

namespace postpaddle::service {

/// Objects shared by all relay workers of a host; they must outlive the workers.
struct worker_dependencies {
    const base::clock* clock = nullptr;
    const settings_store* settings = nullptr;
    decision_controller* decision = nullptr;
    limit_controller* limits = nullptr;
    quarantine_registry* quarantine = nullptr;
    upstream_registry* upstreams = nullptr;
    claim_client* claims = nullptr;
    metrics* process_metrics = nullptr;
    host::owner owner;
};

/// A thread that accepts caller connections, runs the filter chain for each request and relays the responses.
class relay_worker {
public:
    relay_worker(const worker_dependencies& dependencies, const settings::process_settings& process,
                 std::size_t index, std::size_t workers);
    relay_worker(const relay_worker&) = delete;
    relay_worker(relay_worker&&) = delete;
    relay_worker& operator=(const relay_worker&) = delete;
    relay_worker& operator=(relay_worker&&) = delete;
    ~relay_worker();

    /// Listens for callers and returns the port; port 0 lets the system choose one.
    [[nodiscard]] wire::expected<std::uint16_t> listen(std::uint16_t port);
    void start();
    /// Closes the listener, and closes each open connection after its next response.
    void stop_accepting();
    /// Stops and joins the thread, aborting requests in progress.
    void stop();
    /// Number of engine holds that are being released.
    [[nodiscard]] std::size_t releases_in_progress() const { return this->open_releases; }

private:
    void serve(wire::caller_connection& connection, wire::yield_context yield);
    void serve_request(wire::caller_connection& connection, wire::http_request request,
                       wire::yield_context yield);
    void send_bad_request(wire::caller_connection& connection, const wire::wire_error& error,
                          wire::yield_context yield);
    void deliver_effects();
    [[nodiscard]] base::request_id next_request_id();

    worker_dependencies dependencies;
    settings::process_settings process;
    std::size_t index;
    std::size_t workers;
    std::uint64_t requests = 0;
    wire::asio::io_context context{1};
    wire::connection_pool pool;
    release_controller releases;
    std::map<base::request_id, std::shared_ptr<request_mailbox>> mailboxes;
    worker_services services;
    std::shared_ptr<wire::http_listener> listener;
    std::atomic<bool> is_stopping{false};
    std::atomic<std::size_t> open_releases{0};
    std::thread thread;
};

} // namespace postpaddle::service
