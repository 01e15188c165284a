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

/// Worker that a request's effects go to: the last number of its id, modulo the workers.
[[nodiscard]] std::size_t worker_of(const base::request_id& id, std::size_t workers);

/// What the decision thread is made of.
struct decision_options {
    decision::router_options router;
    std::size_t ring_capacity = 4096;
    std::size_t workers = 1;
};

/// Owns the decision core and its thread. Events come in through one bounded ring, effects go out
/// through one ring a worker.
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

    /// Offers a new request; false when the ring is too full for new work.
    [[nodiscard]] bool try_arrive(decision::request_facts facts);
    /// Reports progress of known work; false when the ring is full, and the reporter tries again.
    [[nodiscard]] bool try_report(decision::event event);
    /// Ring of a worker's effects.
    [[nodiscard]] effect_ring& effects_of(std::size_t worker) { return *this->outgoing.at(worker); }

    /// Runs a function on the decision thread with the core's state and waits for it.
    void inspect(const std::function<void(const decision::router_state&)>& look);

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
    std::vector<std::unique_ptr<effect_ring>> outgoing;
    std::deque<decision::effect> overflow; ///< Effects that a full ring has not taken yet.
    std::thread thread;
};

} // namespace postpaddle::service
