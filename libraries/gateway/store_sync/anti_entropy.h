// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_state.h>
#include <gateway/peers/peer_datagrams.h>
#include <gateway/store_sync/store_updates.h>

#include <map>

namespace postpaddle::gateway {

/// Asks other hosts for what this host's replica of the registry lacks, and answers them.
///
/// A host asks once its replica is older than normal operation explains, whatever the reason, and goes on
/// asking other hosts until it is recent. So its lease is renewed as long as any host that it reaches knows
/// the store.
class anti_entropy {
public:
    anti_entropy(gateway_state& state, peer_datagrams& datagrams, topic_progress& registry,
                 store_updates& updates);

    void start();
    /// Asks at once, unless hosts were asked just now.
    void ask_soon();
    /// Asks a host whose clock is not known yet.
    void ask_clock_of(const base::host_id& host);

private:
    [[nodiscard]] bool is_in_doubt() const;
    [[nodiscard]] base::duration interval() const;
    void ask();
    void send_query(const std::vector<std::string>& addresses);
    bool handle_query(std::string_view bytes);
    void schedule_check();

    gateway_state* state;
    peer_datagrams* datagrams;
    topic_progress* registry;
    store_updates* updates;
    wire::boot_timer timer;
    std::map<base::host_id, base::time_point> clocks_asked; ///< When hosts were last asked for their clock.
};

} // namespace postpaddle::gateway
