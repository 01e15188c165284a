// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>

#include <deque>

namespace postpaddle::decision {

/// What all hosts together may add to a service's requests.
struct shared_budget_options {
    double ratio = 0.2;      ///< Extra sends for each request.
    double slack = 20;       ///< Extra sends on top, over all hosts.
    base::duration window{}; ///< Any span of this length keeps to the bound.

    bool operator==(const shared_budget_options&) const = default;
};

/// Requests and extra sends of a short span.
struct budget_span {
    base::time_point begin{};
    int requests = 0;
    int extras = 0;

    bool operator==(const budget_span&) const = default;
};

/// This host's part of a retry budget that all hosts share without a message a request.
///
/// Each host spends the ratio of its own requests and an equal part of the slack, so the sum keeps to the
/// bound whoever is cut off from whom, as long as `hosts` is not less than the hosts that may be alive.
struct shared_budget {
    std::deque<budget_span> spans; ///< Oldest first.
};

/// Counts a request that a caller sent.
void note_request(shared_budget& budget, const shared_budget_options& options, base::time_point now);

/// Counts an extra send that came about unforeseen, whatever is left.
void note_extra(shared_budget& budget, const shared_budget_options& options, base::time_point now);

/// Extra sends that this host may still spend now; below zero after sends that came about unforeseen.
[[nodiscard]] double sends_left(const shared_budget& budget, const shared_budget_options& options, int hosts,
                                base::time_point now);

/// Spends one extra send when this host's part allows it; says whether it did.
[[nodiscard]] bool try_spend(shared_budget& budget, const shared_budget_options& options, int hosts,
                             base::time_point now);

} // namespace postpaddle::decision
