// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/collected_bodies.h>
#include <gateway/engine_slots/engine_slot_waker.h>
#include <gateway/engine_slots/stage_controller.h>
#include <gateway/forwarding/reach_prober.h>
#include <gateway/gateway_state.h>
#include <gateway/peers/load_exchange.h>
#include <gateway/peers/pace_exchange.h>
#include <gateway/peers/peer_exchange.h>
#include <gateway/quarantine/quarantine_exchange.h>
#include <gateway/store_sync/store_watch.h>
#include <gateway/stream_origin/stream_journal_exchange.h>
#include <gateway/stream_origin/stream_origin_exchange.h>
#include <gateway/stream_origin/version_splits.h>
#include <gateway/unsent_data_bound.h>
#include <wire/http_listener.h>

#include <functional>
#include <memory>
#include <string>

namespace postpaddle::gateway {

/// External dependencies of a gateway host, provided by the platform's adapter.
struct gateway_ports {
    ports::request_protocol protocol;
    std::function<std::unique_ptr<ports::control_feed>(wire::asio::io_context&, const std::string& address)>
        make_feed;
};

/// Result of a planned shutdown.
struct shutdown_result {
    int requests_cut = 0;

    bool operator==(const shutdown_result&) const = default;
};

/// A gateway host. All socket I/O, decisions and control run on one thread; the log writer has its own.
///
/// Hosts are expected to be small, such as a quarter of a core each, where a second thread for decisions or
/// control would take turns with the first and cost a wakeup for each message.
class gateway_host {
public:
    gateway_host(const base::clock& clock, settings::gateway_settings process, const gateway_ports& external);
    gateway_host(const gateway_host&) = delete;
    gateway_host(gateway_host&&) = delete;
    gateway_host& operator=(const gateway_host&) = delete;
    gateway_host& operator=(gateway_host&&) = delete;
    ~gateway_host();

    /// Binds all listeners and starts all coroutines.
    [[nodiscard]] wire::expected<void> start();
    /// Serves until a planned shutdown has completed. `reload` re-reads the host's settings file.
    shutdown_result run(const std::function<std::optional<settings::gateway_settings>()>& reload);

private:
    [[nodiscard]] wire::expected<std::shared_ptr<wire::http_listener>>
    listen_at(const std::string& address, std::size_t connections,
              wire::bounds_source bounds = wire::fixed_bounds({})) const;
    /// Binds all listeners, and completes the addresses of those whose port the system chooses.
    [[nodiscard]] wire::expected<void> listen();
    void await_signals(wire::yield_context yield);
    void drain(wire::yield_context yield);
    void handle_reload();

    const base::clock* clock;
    settings::gateway_settings process;
    // Destroying the context unwinds the remaining coroutines, which use the members before it. Those only
    // store the addresses of the ones after them when they are constructed.
    decision_log log;
    gateway_metrics metrics;
    gateway_state state;
    unsent_data_bound unsent_data;
    collected_bodies collected;
    wire::asio::io_context context{1};
    wire::connection_pool pool;
    wire::connection_pool forwarding_pool;
    std::unique_ptr<ports::control_feed> feed;
    peer_exchange peers;
    peer_datagrams datagrams;
    load_exchange loads;
    pace_exchange paces;
    engine_slot_waker slot_waker;
    store_watch store;
    stage_controller stages;
    quarantine_exchange quarantine;
    stream_origin_exchange stream_origins;
    stream_journal_exchange stream_journal;
    version_splits splits;
    reach_prober prober;
    std::shared_ptr<wire::http_listener> caller_listener;
    std::shared_ptr<wire::http_listener> readiness_listener;
    std::shared_ptr<wire::http_listener> metrics_listener;
    std::function<std::optional<settings::gateway_settings>()> reload;
    shutdown_result stopped;
};

} // namespace postpaddle::gateway
