// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <service/control_context.h>
#include <service/peer_codec.h>
#include <wire/host_list_client.h>

#include <set>
#include <string>

namespace postpaddle::service {

/// Probes other hosts, hears what they say and follows the platform's list.
class membership_controller {
public:
    explicit membership_controller(control_context& control);

    /// Starts probing and following the list.
    void start();
    /// Answers another host's probe.
    [[nodiscard]] std::string answer_probe(const std::string& payload);
    /// Probes a host on behalf of another.
    [[nodiscard]] std::string answer_indirect(const std::string& payload, wire::yield_context yield);
    /// Tells a few hosts at once that this one drains or leaves.
    void say_goodbye(bool has_left, wire::yield_context yield);

private:
    void probe_forever(wire::yield_context yield);
    void follow_list(wire::yield_context yield);
    /// Tells other hosts at once under which requests upstreams end.
    void spread_suspects(wire::yield_context yield);
    void probe(const host::member& target, wire::yield_context yield);
    [[nodiscard]] bool try_probe(const base::host_id& name, const std::string& address,
                                 wire::yield_context yield);
    [[nodiscard]] bool try_indirect(const host::member& target, wire::yield_context yield);
    void hear(const gossip_message& message);
    [[nodiscard]] std::string make_message(const base::host_id& receiver);

    void hear_leaving(const std::set<std::string>& now_leaving);

    control_context* control;
    std::set<std::string> listed_leaving; ///< Upstreams that the platform last named as leaving.
    wire::host_list_client list;
};

} // namespace postpaddle::service
