// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/operations/waiting_entry.h>

#include <gateway/engine_slots/slot_order.h>

namespace postpaddle::gateway {

scoped_waiting_entry::scoped_waiting_entry(gateway_state& state, const waiting_request& request)
    : state(&state), request(request) {
    state.waiting.insert(&this->request);
    this->reported = this->class_at(state.clock->now());
    did_change_order(state);
    state.did_change_load();
}

scoped_waiting_entry::~scoped_waiting_entry() {
    this->state->waiting.erase(&this->request);
    did_change_order(*this->state);
    this->state->did_change_load();
}

void scoped_waiting_entry::update(const waiting_change& change) {
    const base::time_point made_at = this->queue_made_at();
    const position_class before = this->class_at(made_at);
    this->request.in_time = change.in_time;
    this->request.rank = change.rank;
    this->request.share_key = change.share_key;
    if (this->class_at(made_at) != before)
        did_change_order(*this->state);
    const position_class now = this->class_at(this->state->clock->now());
    const position_class reported_before = std::exchange(this->reported, now);
    if (now == reported_before)
        return;
    did_change_order(*this->state);
    const bool is_inferred = now.rank == reported_before.rank && now.share_key == reported_before.share_key &&
                             now.is_protected == reported_before.is_protected;
    if (!is_inferred)
        this->state->did_change_load();
}

scoped_waiting_entry::position_class scoped_waiting_entry::class_at(base::time_point now) const {
    const decision::local_waiter waiter = local_waiter_of(*this->state, this->request, now);
    return {.rank = waiter.rank,
            .is_late = waiter.waited > waiter.in_time,
            .is_protected = decision::is_protected(waiter),
            .share_key = waiter.share_key};
}

/// The time for which the known queue has computed the waits; now if there is none.
base::time_point scoped_waiting_entry::queue_made_at() const {
    const auto found = this->state->ordered_waiters_of.find(this->request.service);
    const bool is_known = found != this->state->ordered_waiters_of.end() && found->second.queue;
    return is_known ? found->second.made_at : this->state->clock->now();
}

} // namespace postpaddle::gateway
