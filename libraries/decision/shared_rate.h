// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>

namespace postpaddle::decision {

/// Hosts that share an upstream's request rate.
struct rate_group {
    int hosts = 1; ///< Upper bound of the hosts alive, including this one.
    double position =
        0; ///< Of this host in the order of names: from 0 for the first to below 1 for the last.

    bool operator==(const rate_group&) const = default;
};

/// Request rate that all hosts together keep to.
struct shared_rate {
    double per_second = 0;   ///< Requests; above 0.
    base::duration window{}; ///< Any such span may contain 1.5 times the rate plus 5 requests.

    bool operator==(const shared_rate&) const = default;
};

/// Divides a shared rate without messages: a number of participants may send, each with an interval between
/// its requests. Together they stay below 1.5 times the rate plus 3 requests in any window, which leaves a
/// margin for hosts with different views and for requests in flight.
struct rate_plan {
    double participants = 1;
    base::duration interval{};

    bool operator==(const rate_plan&) const = default;
};

[[nodiscard]] rate_plan plan_rate(const shared_rate& rate, int hosts);

/// Whether this host is one of an upstream's participants: those that follow, in the order of names, a
/// position hashed from the upstream's id. Hosts with the same view agree, and at least one is selected.
[[nodiscard]] bool is_participant(const base::upstream_id& upstream, double participants,
                                  const rate_group& group);

} // namespace postpaddle::decision
