// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>

namespace postpaddle::decision {

/// Retry budget of a service, shared by all hosts.
struct shared_budget_options {
    double ratio = 0.2;      ///< Retries per request.
    double slack = 20;       ///< Additional retries of all hosts together.
    base::duration window{}; ///< The limit holds in any time span of this length.
    int hosts = 1;           ///< Hosts that share the slack: an upper bound of those alive.
    int rank = 0;            ///< Of this host, unique among all hosts or within its cell.

    bool operator==(const shared_budget_options&) const = default;
};

/// This host's share of the retry budget, which hosts share without a message per request.
///
/// A token bucket that is empty when the process starts. Each request adds the ratio, time adds this host's
/// share of the slack, and the capacity is another share of the slack. All buckets together hold at most the
/// slack minus what time adds within a window, so the limit holds in every window, also when hosts are
/// partitioned or restarted: a new process starts with an empty bucket.
struct shared_budget {
    double level = 0;             ///< Retries available.
    base::time_point filled_at{}; ///< When time last added to it; initially the start of the process.
    int reserved = 0; ///< Taken for sends that are still to come. They occupy capacity until they are spent.

    bool operator==(const shared_budget&) const = default;
};

/// Counts a request from a caller.
void record_request(shared_budget& budget, const shared_budget_options& options, base::time_point now);

/// Retries that this host may spend now.
[[nodiscard]] double retries_left(const shared_budget& budget, const shared_budget_options& options,
                                  base::time_point now);

/// Spends one retry if available; returns whether it did.
[[nodiscard]] bool try_spend(shared_budget& budget, const shared_budget_options& options,
                             base::time_point now);

/// Takes retries for sends that are still to come, all of them or none; returns whether it did.
///
/// A reserved retry still occupies the bucket: if the bucket filled up again meanwhile, a host could send
/// more in a window than the limit.
[[nodiscard]] bool try_reserve(shared_budget& budget, const shared_budget_options& options, int count,
                               base::time_point now);

/// Spends a reserved retry, for a send that begins now.
void spend_reserved(shared_budget& budget);

/// Refunds a retry to those reserved, for an attempt that turned out not to count as one.
void refund_reserved(shared_budget& budget, const shared_budget_options& options);

/// Returns reserved retries that are not needed.
void release_reserved(shared_budget& budget, const shared_budget_options& options, int count,
                      base::time_point now);

/// Refunds a retry for an attempt that turned out not to count as one.
void refund(shared_budget& budget, const shared_budget_options& options, base::time_point now);

} // namespace postpaddle::decision
