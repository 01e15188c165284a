// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/effect.h>
#include <wire/asio.h>
#include <wire/upstream_connection.h>

#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace postpaddle::service {

/// Queue of the router's effects for one request. Also closes the upstream connection in use when the caller
/// disconnects.
///
/// Not thread-safe: used only by the request's worker thread.
class request_mailbox {
public:
    explicit request_mailbox(wire::asio::io_context& context) : wake_timer(context) {
        this->wake_timer.expires_at(wire::boot_timer::time_point::max());
    }

    /// Queues an effect and resumes `wait`.
    void push(decision::effect effect) {
        this->effects.push_back(std::move(effect));
        this->wake_timer.cancel();
    }

    /// Handles a disconnect of the caller: closes the upstream connection in use and resumes `wait`.
    void did_lose_caller() {
        this->caller_gone = true;
        if (this->active_connection)
            this->active_connection->cancel();
        this->wake_timer.cancel();
    }

    /// Waits for the next effect. Returns nothing once the caller has disconnected.
    [[nodiscard]] std::optional<decision::effect> wait(wire::yield_context yield) {
        wire::error_code ignored;
        while (!this->caller_gone && this->effects.empty())
            this->wake_timer.async_wait(yield[ignored]);
        if (this->caller_gone)
            return std::nullopt;
        decision::effect next = std::move(this->effects.front());
        this->effects.pop_front();
        return next;
    }

    [[nodiscard]] bool is_caller_gone() const { return this->caller_gone; }

    /// Sets the upstream connection to close when the caller disconnects. Closes it immediately if the caller
    /// has already disconnected.
    void set_connection(std::shared_ptr<wire::upstream_connection> next) {
        this->active_connection = std::move(next);
        if (this->active_connection && this->caller_gone)
            this->active_connection->cancel();
    }

private:
    std::deque<decision::effect> effects;
    wire::boot_timer wake_timer;
    std::shared_ptr<wire::upstream_connection> active_connection;
    bool caller_gone = false;
};

} // namespace postpaddle::service
