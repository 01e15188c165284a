// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>

namespace postpaddle::wire {

/// Parts of an account's bound.
struct collected_data_options {
    std::uint64_t share = 0; ///< Bytes for all messages together.
    /// The bound stays below this, however much one whole message needs.
    std::uint64_t max_bound = UINT64_MAX;
};

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
        std::function<void()> give_up;
        bool may_be_given_up = true;
        bool is_given_up = false;
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
        void did_complete() { this->held.may_be_given_up = false; }
        /// Begins the next message of the same source, which holds nothing yet.
        void begin_next();

    private:
        collected_data* owner;
        held_message held;
    };

    explicit collected_data(std::uint64_t share) : collected_data(collected_data_options{.share = share}) {}
    explicit collected_data(const collected_data_options& options) : options(options) {}

    [[nodiscard]] std::uint64_t bytes() const { return this->total; }
    [[nodiscard]] std::uint64_t bound() const;
    /// Messages that were given up for want of room.
    [[nodiscard]] std::uint64_t given_up() const { return this->given_up_messages; }
    /// Keeps room, beside the share, for a whole message of that many bytes.
    void set_reserve(std::uint64_t bytes) { this->reserve = bytes; }

private:
    void change(held_message& held, std::uint64_t bytes);
    /// The message to give up next; null if there is none.
    [[nodiscard]] held_message* find_largest() const;

    collected_data_options options;
    std::uint64_t reserve = 0;
    std::uint64_t total = 0;
    std::uint64_t given_up_messages = 0;
    sources by_source;
};

} // namespace postpaddle::wire
