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

/// HTTP server for operators: `/healthz` and `/readyz`, and with the operators' token `/metrics`, `/state`
/// and `/explain?id=REQUEST-ID`. Runs on its own thread to stay responsive when the others are busy.
class operators_server {
public:
    operators_server(const base::clock& clock, const settings::process_settings& process,
                     control_thread& control, decision_controller& decision, metrics& process_metrics);
    operators_server(const operators_server&) = delete;
    operators_server(operators_server&&) = delete;
    operators_server& operator=(const operators_server&) = delete;
    operators_server& operator=(operators_server&&) = delete;
    ~operators_server();

    [[nodiscard]] wire::expected<std::uint16_t> listen();
    void start();
    void stop();
    /// Makes `/readyz` answer 503 from now on.
    void set_draining() { this->draining = true; }

private:
    void serve(wire::caller_connection& connection, wire::yield_context yield);
    [[nodiscard]] wire::http_response handle_request(const wire::http_request& request);
    [[nodiscard]] wire::http_response handle_state();
    [[nodiscard]] wire::http_response handle_explain(const std::string& request_id);

    const base::clock* clock;
    const settings::process_settings* process;
    control_thread* control;
    decision_controller* decision;
    metrics* process_metrics;
    std::atomic<bool> draining{false};
    wire::asio::io_context context{1};
    std::shared_ptr<wire::http_listener> listener;
    std::thread thread;
};

} // namespace postpaddle::service
