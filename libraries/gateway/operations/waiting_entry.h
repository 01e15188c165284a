// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_state.h>

#include <compare>

namespace postpaddle::gateway {

/// What may change about a request while it waits.
struct waiting_change {
    base::duration in_time{}; ///< Longest wait with which it still meets its latency target.
    int rank = 0;             ///< By its priorities alone.
    host::share_key share_key = 0;
};

/// Registers a request as waiting for as long as the object lives.
class scoped_waiting_entry {
public:
    scoped_waiting_entry(gateway_state& state, const waiting_request& request);
    scoped_waiting_entry(const scoped_waiting_entry&) = delete;
    scoped_waiting_entry(scoped_waiting_entry&&) = delete;
    scoped_waiting_entry& operator=(const scoped_waiting_entry&) = delete;
    scoped_waiting_entry& operator=(scoped_waiting_entry&&) = delete;
    ~scoped_waiting_entry();

    /// Must precede `ordered_waiters_of` in each check of the request: otherwise the request is judged by
    /// newer facts than its entry, and may be behind it. Reports what other hosts can't infer from the time
    /// that has passed.
    void update(const waiting_change& change);

private:
    /// The part of its position that does not follow from its age.
    struct position_class {
        int rank = 0; ///< It improves while the request waits.
        bool is_late = false;
        bool is_protected = false;
        host::share_key share_key = 0;

        auto operator<=>(const position_class&) const = default;
    };

    [[nodiscard]] position_class class_at(base::time_point now) const;
    [[nodiscard]] base::time_point queue_made_at() const;

    gateway_state* state;
    waiting_request request;
    position_class reported{};
};

} // namespace postpaddle::gateway
