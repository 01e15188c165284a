// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <service/control_context.h>
#include <service/peer_codec.h>
#include <wire/host_list_client.h>

#include <set>
#include <string>

namespace postpaddle::service {

/// Probes other hosts, exchanges gossip with them and polls the platform's host list.
class membership_controller {
public:
    explicit membership_controller(control_context& control);

    /// Spawns the probe, host list and suspects coroutines.
    void start();
    /// Handles another host's probe and returns the gossip message to respond with.
    [[nodiscard]] std::string handle_probe(const std::string& payload);
    /// Probes a host on behalf of another and returns whether it responded.
    [[nodiscard]] std::string handle_indirect_probe(const std::string& payload, wire::yield_context yield);
    /// Notifies a few hosts immediately that this one is draining or has left.
    void announce_leaving(bool has_left, wire::yield_context yield);

private:
    void run_probes(wire::yield_context yield);
    void poll_host_list(wire::yield_context yield);
    /// Forwards new suspect reports immediately instead of with the next scheduled probe.
    void broadcast_suspects(wire::yield_context yield);
    void probe(const host::member& target, wire::yield_context yield);
    [[nodiscard]] bool try_probe(const base::host_id& name, const std::string& address,
                                 wire::yield_context yield);
    [[nodiscard]] bool try_indirect_probe(const host::member& target, wire::yield_context yield);
    void handle_gossip(const gossip_message& message);
    [[nodiscard]] std::string make_gossip(const base::host_id& receiver);

    /// Applies the set of upstreams that the platform lists as leaving.
    void apply_listed_leaving(const std::set<std::string>& now_leaving);

    control_context* control;
    std::set<std::string> listed_leaving; ///< Upstreams that the platform last listed as leaving.
    wire::host_list_client host_list;
};

} // namespace postpaddle::service
