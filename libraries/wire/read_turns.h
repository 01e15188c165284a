// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <wire/asio.h>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace postpaddle::wire {

/// Hands out turns to read more of requests that did not arrive at once, a single one in each round of the
/// event loop, so that clients who send much keep no other work from being done.
///
/// The sources take turns, however many connections each has. Not thread-safe.
class read_turns : public std::enable_shared_from_this<read_turns> {
public:
    using waiting_list = std::list<std::function<void()>>;

    explicit read_turns(asio::io_context& context) : context(&context) {}

    /// A wait for a turn; ends with the object.
    class scoped_wait {
    public:
        /// Calls `on_turn` once, later.
        scoped_wait(read_turns& owner, const std::string& source, std::function<void()> on_turn);
        scoped_wait(const scoped_wait&) = delete;
        scoped_wait(scoped_wait&&) = delete;
        scoped_wait& operator=(const scoped_wait&) = delete;
        scoped_wait& operator=(scoped_wait&&) = delete;
        ~scoped_wait();

        [[nodiscard]] bool has_turn() const { return this->is_over; }

    private:
        read_turns* owner;
        std::string source;
        waiting_list::iterator position;
        bool is_over = false;
    };

private:
    void schedule();
    void give_next_turn();

    asio::io_context* context;
    std::map<std::string, waiting_list> waiting;
    std::string last_source; ///< That had a turn.
    bool is_scheduled = false;
};

} // namespace postpaddle::wire
