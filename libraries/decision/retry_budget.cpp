// SPDX-License-Identifier: BSD-2-Clause
#include <decision/retry_budget.h>

#include <algorithm>

namespace postpaddle::decision {

namespace {

/// Retries earned by each request that arrives.
constexpr double earned = 0.1;
/// Most retries that can be saved up.
constexpr double most_credit = 50;

} // namespace

void earn_retry(retry_budget& budget) { budget.credit = std::min(most_credit, budget.credit + earned); }

bool try_spend_retry(retry_budget& budget) {
    if (budget.credit < 1)
        return false;
    budget.credit -= 1;
    return true;
}

} // namespace postpaddle::decision
