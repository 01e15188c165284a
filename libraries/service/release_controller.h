// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/effect.h>
#include <service/decision_controller.h>
#include <service/metrics.h>
#include <service/settings_store.h>
#include <wire/upstream_pool.h>

namespace postpaddle::service {

/// Frees what engines hold: asks by request id, again and again, until the engine confirms or its own
/// time limit has surely passed. One for each worker.
class release_controller {
public:
    release_controller(wire::asio::io_context& context, const settings_store& settings,
                       decision_controller& decision, metrics& figures);

    /// Starts freeing one hold.
    void release(const decision::release_hold& order);
    [[nodiscard]] std::size_t in_progress() const { return this->running; }

private:
    void run(const decision::release_hold& order, wire::yield_context yield);
    [[nodiscard]] bool try_release(const decision::release_hold& order, wire::yield_context yield);
    void report(const decision::release_hold& order, wire::yield_context yield);

    wire::asio::io_context* context;
    const settings_store* settings;
    decision_controller* decision;
    metrics* figures;
    wire::upstream_pool pool;
    std::size_t running = 0;
};

} // namespace postpaddle::service
