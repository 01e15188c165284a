// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_state.h>
#include <gateway/upstreams/upstream_exchange.h>

namespace postpaddle::gateway {

/// Exchanges the loads that plain upstreams report in their responses with the other hosts, in the load
/// reports. Only loads with the relative latency are exchanged.
///
/// Any report contains recent loads. While they decide which requests wait, a report is sent for them alone.
class upstream_load_exchange {
public:
    explicit upstream_load_exchange(gateway_state& state);

    void start();
    /// Adds the loads that this host received recently.
    void fill(host::load_report& report);
    /// Applies the loads that another host received.
    void apply(const host::load_report& report);

private:
    void schedule_report();

    gateway_state* state;
    wire::boot_timer timer;
    bool is_scheduled = false;
};

/// Records the load in a plain upstream's response to this host.
void record_plain_response(gateway_state& state, const base::upstream_id& instance,
                           const exchange_result& exchange);

/// Call when a plain request waits or is refused: other hosts need this host's loads.
void did_hold_plain_request(gateway_state& state);

/// Hosts that recently received loads of plain upstreams, including this one.
[[nodiscard]] int count_competing_hosts(gateway_state& state);

} // namespace postpaddle::gateway
