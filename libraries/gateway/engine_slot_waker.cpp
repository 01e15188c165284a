// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/engine_slot_waker.h>

#include <decision/instance_choice.h>

#include <map>
#include <vector>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;

/// Batching window for changes. Small compared with the time an engine takes to process a prompt.
constexpr base::duration batching_window = 5ms;
/// Maximum number of requests woken per check. Any others are woken by the next change.
constexpr std::size_t max_woken = 8;

decision::waiter waiter_of(const waiting_request& waiting, base::time_point now) {
    return {now - waiting.first_try, waiting.memory_tokens};
}

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

double engine_slot_waker::free_slots(const waiting_request& first) const {
    const decision::choice_context context = {.service = first.service,
                                              .own_zone = this->state->process->availability_zone,
                                              .excluded = {},
                                              .now = this->state->clock->now()};
    const decision::prompt_size size = {.prompt_tokens = first.memory_tokens};
    return decision::count_decode_slots(this->state->instances, context, first.capacity, size).free_now;
}

void engine_slot_waker::wake_next() {
    const base::time_point now = this->state->clock->now();
    std::vector<decision::waiter> all = host::all_waiters(this->state->loads, now);
    std::map<std::string, std::vector<const waiting_request*>> by_service;
    for (const waiting_request* const waiting : this->state->waiting) {
        all.push_back(waiter_of(*waiting, now));
        by_service[waiting->service].push_back(waiting);
    }
    const decision::wait_queue queue(all);
    for (const auto& [service, own] : by_service) {
        std::vector<decision::local_waiter> facts;
        for (const waiting_request* const waiting : own)
            facts.push_back({now - waiting->first_try, waiting->in_time});
        for (const std::size_t index :
             decision::head_of_queue(queue, facts, this->free_slots(*own.front()), max_woken))
            own[index]->wake->cancel();
    }
}

} // namespace postpaddle::gateway
