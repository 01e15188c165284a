// SPDX-License-Identifier: BSD-2-Clause
#pragma once

namespace postpaddle::decision {

/// Keeps retries to a fraction of what arrives, so that failures can't multiply load.
struct retry_budget {
    double credit = 10;

    bool operator==(const retry_budget&) const = default;
};

/// A request arrived: earns a part of a retry.
void earn_retry(retry_budget& budget);

/// Spends one retry when there is credit; says whether it did.
[[nodiscard]] bool try_spend_retry(retry_budget& budget);

} // namespace postpaddle::decision
