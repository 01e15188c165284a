// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>

namespace postpaddle::wire {

/// Bounds the bytes of the messages that this process collects, over all its connections together.
///
/// Each message is accounted to its source. Where there is no room for more, a message of the source that
/// fills most of it is given up, its largest one, so that nobody else's ends because a source sends without
/// end. Not thread-safe.
class collected_data {
    struct held_message;
    struct source_messages {
        std::uint64_t bytes = 0; ///< Of those that are not given up.
        std::list<held_message*> messages;
    };
    using sources = std::map<std::string, source_messages>;
    struct held_message {
        sources::iterator source;
        std::list<held_message*>::iterator position;
        std::uint64_t bytes = 0;
        std::function<void()> give_up; ///< Null once it must not, or need not, be given up.
    };

public:
    /// A message that is being collected, or kept, for as long as the object lives.
    class scoped_message {
    public:
        /// `give_up` ends the collection of the message, without destroying this object.
        scoped_message(collected_data& owner, const std::string& source, std::function<void()> give_up);
        scoped_message(const scoped_message&) = delete;
        scoped_message(scoped_message&&) = delete;
        scoped_message& operator=(const scoped_message&) = delete;
        scoped_message& operator=(scoped_message&&) = delete;
        ~scoped_message();

        /// Accounts for that many bytes of the message in all. False if it must be given up.
        [[nodiscard]] bool try_hold(std::uint64_t bytes);
        /// The message is whole: it is kept, and not given up any more.
        void did_complete() { this->held.give_up = nullptr; }

    private:
        collected_data* owner;
        held_message held;
        bool is_given_up = false;
    };

    explicit collected_data(std::uint64_t bound) : byte_bound(bound) {}

    [[nodiscard]] std::uint64_t bytes() const { return this->total; }
    [[nodiscard]] std::uint64_t bound() const { return this->byte_bound; }
    /// Messages that were given up for want of room.
    [[nodiscard]] std::uint64_t given_up() const { return this->given_up_messages; }

private:
    void change(held_message& held, std::uint64_t bytes);
    /// The message to give up next; null if there is none.
    [[nodiscard]] held_message* find_largest() const;

    std::uint64_t byte_bound;
    std::uint64_t total = 0;
    std::uint64_t given_up_messages = 0;
    sources by_source;
};

} // namespace postpaddle::wire
