// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>

namespace postpaddle::decision {

/// What all hosts together may add to a service's requests, and how many they are.
struct shared_budget_options {
    double ratio = 0.2;      ///< Extra sends for each request.
    double slack = 20;       ///< Extra sends on top, over all hosts.
    base::duration window{}; ///< Any span of this length keeps to the bound.
    int hosts = 1;           ///< Hosts that share the slack: no fewer than may be alive.
    int rank = 0;            ///< This host's among them, or among those of its cell; no two have the same.

    bool operator==(const shared_budget_options&) const = default;
};

/// This host's part of a retry budget that all hosts share without a message a request.
///
/// A token bucket that is empty when the process starts. Each request adds the ratio, time adds this host's
/// part of the slack, and no more is saved up than another part of it. At any moment the hosts' buckets hold
/// at most the slack less what time will add within a window, so every window keeps to the bound, whoever is
/// cut off or killed, however often, and wherever callers move: what a process forgets when it dies can't be
/// spent by the next one, which begins with nothing.
struct shared_budget {
    double level = 0;             ///< Extra sends saved up.
    base::time_point filled_at{}; ///< When time last added to it; at first the start of the process.

    bool operator==(const shared_budget&) const = default;
};

/// Counts a request that a caller sent.
void note_request(shared_budget& budget, const shared_budget_options& options, base::time_point now);

/// Extra sends that this host may spend now.
[[nodiscard]] double sends_left(const shared_budget& budget, const shared_budget_options& options,
                                base::time_point now);

/// Spends one extra send when this host's part allows it; says whether it did.
[[nodiscard]] bool try_spend(shared_budget& budget, const shared_budget_options& options,
                             base::time_point now);

/// Takes back one that was spent for a send that turned out not to be an extra one.
void give_back(shared_budget& budget, const shared_budget_options& options, base::time_point now);

} // namespace postpaddle::decision
