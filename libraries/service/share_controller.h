// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <host/share_table.h>
#include <service/control_context.h>
#include <service/peer_codec.h>
#include <service/upstream_controller.h>

namespace postpaddle::service {

/// Gives out shares of the things whose home this host is, and asks other homes for its own.
class share_controller {
public:
    share_controller(control_context& control, const upstream_controller& upstreams)
        : control(&control), upstreams(&upstreams) {}

    void start();
    /// Answers another host's request.
    [[nodiscard]] std::string answer(const std::string& payload);

private:
    void ask_forever(wire::yield_context yield);
    [[nodiscard]] std::map<std::string, double> demands() const;
    [[nodiscard]] share_answer grant(const share_request& request);
    void take(const share_answer& answer);
    void ask(const host::member& home, const share_request& request, wire::yield_context yield);

    control_context* control;
    const upstream_controller* upstreams;
    host::share_table table;
};

} // namespace postpaddle::service
