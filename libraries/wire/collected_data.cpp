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
    this->held.give_up = std::move(give_up);
}

collected_data::scoped_message::~scoped_message() {
    this->owner->change(this->held, 0);
    this->held.source->second.messages.erase(this->held.position);
    if (this->held.source->second.messages.empty())
        this->owner->by_source.erase(this->held.source);
}

bool collected_data::scoped_message::try_hold(std::uint64_t bytes) {
    if (this->held.is_given_up)
        return false;
    this->owner->change(this->held, bytes);
    while (this->owner->total > this->owner->bound() && !this->held.is_given_up) {
        held_message* largest = this->owner->find_largest();
        // All others are complete: this one can't be taken.
        if (largest == nullptr)
            largest = &this->held;
        ++this->owner->given_up_messages;
        this->owner->change(*largest, 0);
        largest->is_given_up = true;
        if (largest != &this->held)
            largest->give_up();
    }
    return !this->held.is_given_up;
}

void collected_data::scoped_message::begin_next() {
    this->owner->change(this->held, 0);
    this->held.may_be_given_up = true;
}

std::uint64_t collected_data::bound() const {
    return std::min(this->options.share + this->reserve,
                    std::max(this->options.share, this->options.max_bound));
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
            if (message->may_be_given_up && message->bytes > 0 &&
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
