// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/instance_table.h>
#include <decision/shared_rate.h>

namespace postpaddle::decision {

/// What a cold upstream bears, and who shares it.
///
/// An upstream that has just started falls over above a few requests a second from all hosts together. Hosts
/// keep to that without a message, see shared_rate.h. Whoever is cut off, silent or gone, no host takes
/// another's part.
struct warm_up_limit {
    double per_second = 0; ///< Requests to one cold upstream, of all hosts; 0: as many as to a warm one.
    rate_sharers sharers;

    bool operator==(const warm_up_limit&) const = default;
};

/// An upstream said that it stays cold for so long.
void note_cold(instance& target, base::duration remaining, base::time_point now);

[[nodiscard]] bool is_cold(const instance& target, base::time_point now);

/// From when on this host may send it a request, `now` at the earliest: it is warm, or cold with a part of
/// this host left.
[[nodiscard]] base::time_point next_cold_send(const instance& target, const warm_up_limit& limit,
                                              base::time_point now);

/// Whether that is now.
[[nodiscard]] bool may_send_cold(const instance& target, const warm_up_limit& limit, base::time_point now);

} // namespace postpaddle::decision
