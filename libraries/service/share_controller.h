// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <host/share_table.h>
#include <service/control_context.h>
#include <service/peer_codec.h>
#include <service/upstream_controller.h>

namespace postpaddle::service {

/// Grants shares of the organisation limits and engines that this host owns, and requests this host's shares
/// from the other owners.
class share_controller {
public:
    share_controller(control_context& control, const upstream_controller& upstreams)
        : control(&control), upstreams(&upstreams) {}

    void start();
    /// Handles another host's encoded share request. A malformed request gets an empty response.
    [[nodiscard]] std::string answer(const std::string& payload);

private:
    void request_shares_forever(wire::yield_context yield);
    [[nodiscard]] std::map<std::string, double> demands() const;
    [[nodiscard]] share_response grant(const share_request& request);
    void apply_response(const share_response& answer);
    void request_shares(const host::member& owner, const share_request& request, wire::yield_context yield);

    control_context* control;
    const upstream_controller* upstreams;
    host::share_table table;
};

} // namespace postpaddle::service
