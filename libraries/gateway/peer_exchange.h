// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_state.h>
#include <wire/http_listener.h>

#include <memory>
#include <string>

namespace postpaddle::gateway {

/// A text that other hosts are handed compressed.
struct packed_text {
    std::uint64_t revision = 0; ///< Of the text; 0 before it was asked for.
    std::string bytes;
};

/// What hosts tell each other: who is there, which settings are in force, and, while the store is out of
/// reach, the settings and the registry themselves.
///
/// Heartbeats go to few hosts drawn at random, so the traffic of a host does not grow with their number.
class peer_exchange {
public:
    peer_exchange(gateway_state& state, ports::control_feed& feed);

    /// Listens for the other hosts and for operators.
    [[nodiscard]] wire::expected<void> listen();
    /// Starts the coroutines; they run for as long as the process does.
    void start();
    /// Tells a few peers at once that the operator's newer settings, or word of a zone, are in force here.
    void spread_settings();
    /// Asks a peer which settings it has, and for those where they are newer.
    void ask_for_settings();
    /// Asks a peer for the registry and, if need be, for the settings.
    void ask_for_registry(wire::yield_context yield);
    /// Tells a few peers that this host is leaving.
    void say_goodbye();

private:
    void serve(wire::caller_connection& connection, wire::yield_context yield);
    [[nodiscard]] bool serve_one(const wire::http_request& request, wire::caller_connection& connection,
                                 wire::yield_context yield);
    [[nodiscard]] wire::http_response answer(const wire::http_request& request);
    /// The settings in force, compressed for a host that takes that: 765 KB of some 4,200 routes take 0.6 s
    /// of a link of 10 Mbit/s, in which the streams of the host's callers stand still.
    [[nodiscard]] wire::http_response settings_answer(const wire::http_request& request);
    /// The registry, encoded once for all who ask before it changes: with 10,000 upstreams that takes 40 ms
    /// of a core and 0.9 MB, and where all hosts start at once hundreds ask the same one.
    [[nodiscard]] wire::http_response registry_answer(const wire::http_request& request);
    [[nodiscard]] std::string own_heartbeat() const;
    void hear(const std::string& text);
    void beat(const std::string& address, wire::yield_context yield);
    /// What that host hands over under the path; nothing where it does not.
    [[nodiscard]] std::optional<std::string> fetch_handover(const std::string& address, const char* path,
                                                            std::chrono::milliseconds limit,
                                                            wire::yield_context yield);
    void fetch_settings(const std::string& address, wire::yield_context yield);
    void fetch_registry(const std::string& address, wire::yield_context yield);
    void run_heartbeats(wire::yield_context yield);
    void join(wire::yield_context yield);
    void beat_some(std::size_t count);

    gateway_state* state;
    ports::control_feed* feed;
    std::shared_ptr<wire::http_listener> listener;
    packed_text settings_packed;
    packed_text registry_packed;
    int handovers = 0; ///< Registries and settings that are on their way to other hosts.
};

} // namespace postpaddle::gateway
