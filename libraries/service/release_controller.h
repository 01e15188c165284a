// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/effect.h>
#include <service/decision_controller.h>
#include <service/metrics.h>
#include <service/settings_store.h>
#include <wire/connection_pool.h>

namespace postpaddle::service {

/// Releases the resources that engines hold for requests: sends abort requests by attempt id, with
/// exponential backoff, until the engine confirms or `abandon_after` has elapsed. Each worker has its own.
class release_controller {
public:
    release_controller(wire::asio::io_context& context, const settings_store& settings,
                       decision_controller& decision, metrics& process_metrics);

    /// Starts releasing a hold asynchronously; its end is reported to the decision.
    void release(const decision::release_hold& order);
    [[nodiscard]] std::size_t in_progress() const { return this->active_releases; }

private:
    void run(const decision::release_hold& order, wire::yield_context yield);
    [[nodiscard]] bool try_release(const decision::release_hold& order, wire::yield_context yield);
    void report(const decision::release_hold& order, wire::yield_context yield);

    wire::asio::io_context* context;
    const settings_store* settings;
    decision_controller* decision;
    metrics* process_metrics;
    wire::connection_pool pool;
    std::size_t active_releases = 0;
};

} // namespace postpaddle::service
