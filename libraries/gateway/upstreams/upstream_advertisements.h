// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_state.h>
#include <host/peer_load_table.h>

#include <vector>

/// State that upstreams advertise in response headers, and its gossip between hosts.
namespace postpaddle::gateway {

/// Applies the state advertised in an instance's response to a request sent at `sent`.
void apply_advertised_state(gateway_state& state, decision::instance& target,
                            const ports::answer_facts& facts, base::time_point sent);

/// Applies upstream state received from another host.
void handle_advertisements(gateway_state& state, const std::vector<host::advertised_state>& advertisements);

/// Selects which upstreams to include.
enum class advertisement_source {
    own_answers, ///< Upstreams that recently advertised their state to this host.
    any,         ///< All upstreams with relevant state, from any source.
};

/// Upstream state that other hosts need: limits, recently lifted limits, and upstreams that are leaving. If
/// there are more than fit, a random sample.
[[nodiscard]] std::vector<host::advertised_state> advertisements_to_send(gateway_state& state,
                                                                         advertisement_source source);

} // namespace postpaddle::gateway
