// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>

namespace postpaddle::decision {

/// Hosts that share what an upstream takes from all of them.
struct rate_sharers {
    int hosts = 1;       ///< No fewer than may be alive, this one among them.
    double position = 0; ///< Of this host among them by name: 0 for the first, below 1 for the last.

    bool operator==(const rate_sharers&) const = default;
};

/// A rate that all hosts together keep to.
struct shared_rate {
    double per_second = 0;   ///< Requests; above 0.
    base::duration window{}; ///< Span within which half as many again, and five, are borne.

    bool operator==(const shared_rate&) const = default;
};

/// How hosts keep to a shared rate without a message: so many of them may send, and each leaves a pause
/// between two of its requests. Together they stay below half as many again as the rate, and three, in any
/// window; what is left up to the bound is for hosts whose views differ and for what is under way.
struct rate_plan {
    double senders = 1;
    base::duration pause{};

    bool operator==(const rate_plan&) const = default;
};

[[nodiscard]] rate_plan plan_rate(const shared_rate& rate, int hosts);

/// Whether this host is one of an upstream's senders. They follow each other by name from a place that the
/// upstream's id gives, so hosts that know the same others agree, and one is chosen at least; where views
/// differ by a host, so does the choice.
[[nodiscard]] bool is_sender(const base::upstream_id& upstream, double senders, const rate_sharers& sharers);

} // namespace postpaddle::decision
