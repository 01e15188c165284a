// SPDX-License-Identifier: BSD-2-Clause
#include <wire/collected_data.h>

#include <algorithm>
#include <utility>

namespace postpaddle::wire {

collected_data::scoped_message::scoped_message(collected_data& owner, const std::string& source,
                                               std::function<void()> give_up)
    : owner(&owner) {
    this->held.source = owner.by_source.try_emplace(source).first;
    auto& messages = this->held.source->second.messages;
    this->held.position = messages.insert(messages.end(), &this->held);
    this->held.give_up = [this, give_up = std::move(give_up)] {
        this->is_given_up = true;
        give_up();
    };
}

collected_data::scoped_message::~scoped_message() {
    this->owner->change(this->held, 0);
    this->held.source->second.messages.erase(this->held.position);
    if (this->held.source->second.messages.empty())
        this->owner->by_source.erase(this->held.source);
}

bool collected_data::scoped_message::try_hold(std::uint64_t bytes) {
    if (this->is_given_up)
        return false;
    this->owner->change(this->held, bytes);
    while (this->owner->total > this->owner->byte_bound && !this->is_given_up) {
        held_message* largest = this->owner->find_largest();
        // All others are complete: this one can't be taken.
        if (largest == nullptr)
            largest = &this->held;
        ++this->owner->given_up_messages;
        this->owner->change(*largest, 0);
        if (largest == &this->held)
            this->is_given_up = true;
        else
            std::exchange(largest->give_up, nullptr)();
    }
    return !this->is_given_up;
}

void collected_data::change(held_message& held, std::uint64_t bytes) {
    const std::uint64_t before = std::exchange(held.bytes, bytes);
    this->total = this->total - before + bytes;
    auto& source = held.source->second;
    source.bytes = source.bytes - before + bytes;
}

collected_data::held_message* collected_data::find_largest() const {
    held_message* largest = nullptr;
    std::uint64_t most = 0;
    for (const auto& [name, source] : this->by_source) {
        if (source.bytes <= most)
            continue;
        held_message* candidate = nullptr;
        for (held_message* const message : source.messages)
            if (message->give_up && message->bytes > 0 &&
                (candidate == nullptr || message->bytes > candidate->bytes))
                candidate = message;
        if (candidate == nullptr)
            continue;
        largest = candidate;
        most = source.bytes;
    }
    return largest;
}

} // namespace postpaddle::wire
