// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/instance_table.h>
#include <decision/shared_rate.h>

namespace postpaddle::decision {

/// Warm-up rate of cold upstreams, and the hosts that share it.
///
/// An upstream that has just started is overloaded by more than a few requests per second from all hosts
/// together. Hosts share the rate without messages, see shared_rate.h; no host takes over the share of
/// another that is unreachable or gone.
struct warm_up_limit {
    double per_second = 0; ///< Requests of all hosts to one cold upstream; 0: unlimited.
    rate_group group;

    bool operator==(const warm_up_limit&) const = default;
};

/// Records that an upstream advertised to remain cold for that long.
void record_cold(instance& target, base::duration remaining, base::time_point now);

[[nodiscard]] bool is_cold(const instance& target, base::time_point now);

/// Earliest time at which this host may send it a request, `now` or later.
[[nodiscard]] base::time_point next_cold_send(const instance& target, const warm_up_limit& limit,
                                              base::time_point now);

[[nodiscard]] bool may_send_cold(const instance& target, const warm_up_limit& limit, base::time_point now);

} // namespace postpaddle::decision
