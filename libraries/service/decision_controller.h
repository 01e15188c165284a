// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/bounded_ring.h>
#include <base/clock.h>
#include <decision/router.h>
#include <wire/asio.h>

#include <deque>
#include <functional>
#include <thread>
#include <vector>

namespace postpaddle::service {

/// Index of the worker that receives a request's effects: the sequence number in its id modulo `workers`.
[[nodiscard]] std::size_t worker_of(const base::request_id& id, std::size_t workers);

struct decision_options {
    decision::router_options router;
    std::size_t ring_capacity = 4096;
    std::size_t workers = 1;
};

/// Owns the decision core and its thread. Arrivals and progress reports come in through one bounded ring
/// each, effects go out through one ring per worker.
class decision_controller {
public:
    using effect_ring = base::bounded_ring<decision::effect>;

    decision_controller(const base::clock& clock, const decision_options& options);
    decision_controller(const decision_controller&) = delete;
    decision_controller(decision_controller&&) = delete;
    decision_controller& operator=(const decision_controller&) = delete;
    decision_controller& operator=(decision_controller&&) = delete;
    ~decision_controller();

    void start();
    void stop();

    /// Submits a new request. Returns false when the ring is full.
    [[nodiscard]] bool try_submit(decision::request_facts facts);
    /// Reports progress of a known request or other state. Returns false when the ring is full.
    [[nodiscard]] bool try_report(decision::event event);
    [[nodiscard]] effect_ring& effects_of(std::size_t worker) { return *this->effect_rings.at(worker); }

    /// Runs a function on the decision thread with the core's state and waits until it returns.
    void inspect(const std::function<void(const decision::router_state&)>& function);

private:
    void drain();
    void apply(const decision::event& event);
    void deliver(decision::effects& effects);
    void flush_overflow();
    void schedule_tick();

    const base::clock* clock;
    decision_options options;
    decision::router_state state;
    wire::asio::io_context context{1};
    wire::boot_timer ticker{context};
    base::bounded_ring<decision::event> arrivals;
    base::bounded_ring<decision::event> progress;
    std::vector<std::unique_ptr<effect_ring>> effect_rings;
    std::deque<decision::effect> overflow; ///< Effects that did not fit into a full worker ring, in order.
    std::thread thread;
};

} // namespace postpaddle::service
