// SPDX-License-Identifier: BSD-2-Clause
#include <wire/read_turns.h>

#include <utility>

namespace postpaddle::wire {

read_turns::scoped_wait::scoped_wait(read_turns& owner, const std::string& source,
                                     std::function<void()> on_turn)
    : owner(&owner), source(source) {
    auto& list = owner.waiting[source];
    this->position = list.insert(list.end(), [this, on_turn = std::move(on_turn)] {
        this->is_over = true;
        on_turn();
    });
    owner.schedule();
}

read_turns::scoped_wait::~scoped_wait() {
    if (this->is_over)
        return;
    const auto entry = this->owner->waiting.find(this->source);
    entry->second.erase(this->position);
    if (entry->second.empty())
        this->owner->waiting.erase(entry);
}

void read_turns::schedule() {
    if (this->is_scheduled || this->waiting.empty())
        return;
    this->is_scheduled = true;
    // The event loop looks for other events between two posted calls.
    asio::post(*this->context, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock())
            self->give_next_turn();
    });
}

void read_turns::give_next_turn() {
    this->is_scheduled = false;
    if (this->waiting.empty())
        return;
    auto next = this->waiting.upper_bound(this->last_source);
    if (next == this->waiting.end())
        next = this->waiting.begin();
    this->last_source = next->first;
    const std::function<void()> on_turn = std::move(next->second.front());
    next->second.pop_front();
    if (next->second.empty())
        this->waiting.erase(next);
    on_turn();
    this->schedule();
}

} // namespace postpaddle::wire
