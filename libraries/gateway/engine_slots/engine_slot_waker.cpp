// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/engine_slots/engine_slot_waker.h>

#include <gateway/engine_slots/slot_order.h>

#include <algorithm>
#include <map>
#include <vector>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;

/// Batching window for changes. Small compared with the time an engine takes to process a prompt, about
/// 100 ms.
constexpr base::duration batching_window = 5ms;
/// Maximum number of requests woken per check. More than that seldom find slots at once; any others are
/// woken by the next change.
constexpr std::size_t max_woken = 8;

} // namespace

engine_slot_waker::engine_slot_waker(gateway_state& state) : state(&state), timer(*state.context) {}

void engine_slot_waker::start() {
    this->state->on_slots_changed = [this] { this->schedule_wake(); };
}

void engine_slot_waker::schedule_wake() {
    if (this->state->waiting.empty() || std::exchange(this->is_scheduled, true))
        return;
    this->timer.expires_after(batching_window);
    this->timer.async_wait([this](const wire::error_code& error) {
        this->is_scheduled = false;
        if (!error)
            this->wake_next();
    });
}

void engine_slot_waker::wake_next() {
    std::map<std::string, std::vector<const waiting_request*>> by_service;
    for (const waiting_request* const waiting : this->state->waiting)
        by_service[waiting->service].push_back(waiting);
    did_change_order(*this->state);
    for (const auto& [service, own] : by_service) {
        const decision::decode_slots slots = count_slots_for(*this->state, *own.front());
        const ordered_waiters& waiters = ordered_waiters_of(
            *this->state, service, {.total = slots.total_memory, .free = slots.free_memory});
        std::vector<decision::local_waiter> own_waiters;
        for (const waiting_request* const waiting : own)
            own_waiters.push_back(local_waiter_of(*this->state, *waiting, waiters.made_at));
        for (const std::size_t index :
             decision::head_of_queue(*waiters.queue, own_waiters, slots.free_now, max_woken))
            own[index]->wake->cancel();
    }
}

} // namespace postpaddle::gateway
