// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <service/control_thread.h>
#include <service/decision_controller.h>
#include <service/metrics.h>
#include <settings/process_settings.h>
#include <wire/http_listener.h>

#include <atomic>
#include <memory>
#include <thread>

namespace postpaddle::service {

/// The operators' address: `/healthz`, `/readyz`, and with the token `/metrics`, `/state` and
/// `/explain?id=REQUEST-ID`. Has a thread of its own, so that it answers however busy the host is.
class operators_server {
public:
    operators_server(const base::clock& clock, const settings::process_settings& process,
                     control_thread& control, decision_controller& decision, metrics& figures);
    operators_server(const operators_server&) = delete;
    operators_server(operators_server&&) = delete;
    operators_server& operator=(const operators_server&) = delete;
    operators_server& operator=(operators_server&&) = delete;
    ~operators_server();

    [[nodiscard]] wire::expected<std::uint16_t> listen();
    void start();
    void stop();
    /// From now on `/readyz` says no: a planned stop has begun.
    void set_draining() { this->draining = true; }

private:
    void serve(wire::caller_connection& connection, wire::yield_context yield);
    [[nodiscard]] wire::http_response answer(const wire::http_request& request);
    [[nodiscard]] wire::http_response answer_state();
    [[nodiscard]] wire::http_response answer_explain(const std::string& target);

    const base::clock* clock;
    const settings::process_settings* process;
    control_thread* control;
    decision_controller* decision;
    metrics* figures;
    std::atomic<bool> draining{false};
    wire::asio::io_context context{1};
    std::shared_ptr<wire::http_listener> listener;
    std::thread thread;
};

} // namespace postpaddle::service
