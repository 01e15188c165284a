// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>

namespace postpaddle::decision {

/// Position of a waiting plain request among those of its service on this host. Requests that wait for an
/// engine slot are ordered over all hosts by `wait_position`.
struct queue_position {
    base::time_point since{};                                 ///< First try.
    base::time_point in_time_until = base::time_point::max(); ///< It can be in time if it is sent by then.
    base::duration latency_target = base::duration::max();    ///< Its rank improves by one for each of these.
    int rank = 0;                                             ///< 0 is the most urgent.

    bool operator==(const queue_position&) const = default;
};

/// Position behind all requests whose position is known from the load.
[[nodiscard]] queue_position last_position(base::time_point now);

/// Whether `left` is served before `right`: requests that can be in time first, then by rank, then by age.
[[nodiscard]] bool is_ahead(const queue_position& left, const queue_position& right, base::time_point now);

} // namespace postpaddle::decision
