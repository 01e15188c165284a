// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>

namespace postpaddle::decision {

struct drain_options {
    base::duration grace_period{};   ///< From the stop signal until the process must have exited.
    base::duration balancer_delay{}; ///< Until the balancer sends no new connections.
};

/// When a host that was told to stop does what.
struct drain_schedule {
    base::time_point stop_accepting{}; ///< New connections come until then.
    /// Requests without a response by then are answered, so that the answers are written before the end.
    base::time_point answer_by{};
    base::time_point end{}; ///< Responses that are not complete are cut.

    bool operator==(const drain_schedule&) const = default;
};

/// The schedule of a host that is told to stop at that time. Later changes of the options don't change it.
[[nodiscard]] drain_schedule make_drain_schedule(const drain_options& options, base::time_point told_at);

} // namespace postpaddle::decision
