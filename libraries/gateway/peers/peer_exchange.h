// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_state.h>
#include <wire/http_listener.h>

#include <memory>
#include <string>

namespace postpaddle::gateway {

/// A compressed text, cached for other hosts.
struct compressed_text {
    std::uint64_t revision = 0; ///< Revision of the text; 0 if not cached yet.
    std::string bytes;
};

/// Exchanges membership and settings versions with other hosts by heartbeats and, while the store is
/// unreachable, transfers the settings and the registry.
///
/// Heartbeats go to a few random hosts, so each host's traffic is independent of the number of hosts.
class peer_exchange {
public:
    peer_exchange(gateway_state& state, ports::control_feed& feed);

    /// Listens for the other hosts and for operators.
    [[nodiscard]] wire::expected<void> listen();
    /// Port on which it listens.
    [[nodiscard]] std::uint16_t port() const { return this->listener->port(); }
    /// Starts the coroutines; they run as long as the process.
    void start();
    /// Sends heartbeats to a few peers at once after newer settings or zone records were applied.
    void announce_settings();
    /// Asks a peer for its settings version, and fetches the settings if they are newer.
    void ask_for_settings();
    /// Asks a peer for the registry and, if it has newer ones, for the settings.
    void ask_for_registry(wire::yield_context yield);
    /// Notifies a few peers that this host is leaving.
    void announce_leaving();

private:
    void serve(wire::caller_connection& connection, wire::yield_context yield);
    [[nodiscard]] bool serve_one(const wire::http_request& request, wire::caller_connection& connection,
                                 wire::yield_context yield);
    [[nodiscard]] wire::http_response answer(const wire::http_request& request);
    /// The settings in force, compressed if the client accepts that, to keep large settings from saturating
    /// the link that also carries client streams: 765 KB for some 4,200 routes take 0.6 s of a link of
    /// 10 Mbit/s, in which those streams stall.
    [[nodiscard]] wire::http_response settings_answer(const wire::http_request& request);
    /// The registry. The compressed form is cached until the registry changes, since hundreds of hosts may
    /// request it from the same one when all start together. With 10,000 upstreams, encoding it takes 40 ms
    /// of a core and 0.9 MB.
    [[nodiscard]] wire::http_response registry_answer(const wire::http_request& request);
    [[nodiscard]] std::string own_heartbeat() const;
    void handle_heartbeat(const std::string& text);
    void send_heartbeat(const std::string& address, wire::yield_context yield);
    /// Fetches `path` from another host, with the body decompressed; returns nothing on failure.
    [[nodiscard]] std::optional<wire::http_response> fetch_from_peer(const std::string& address,
                                                                     const char* path,
                                                                     std::chrono::milliseconds limit,
                                                                     wire::yield_context yield);
    void fetch_settings(const std::string& address, wire::yield_context yield);
    void fetch_registry(const std::string& address, wire::yield_context yield);
    void run_heartbeats(wire::yield_context yield);
    void join(wire::yield_context yield);
    void send_heartbeats(std::size_t count);

    gateway_state* state;
    ports::control_feed* feed;
    std::shared_ptr<wire::http_listener> listener;
    compressed_text compressed_settings;
    compressed_text compressed_registry;
    int transfers = 0; ///< Registry and settings transfers in progress.
};

} // namespace postpaddle::gateway
