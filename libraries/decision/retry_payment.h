// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/arrival_account.h>
#include <decision/shared_budget.h>

#include <optional>

namespace postpaddle::decision {

/// Who pays for a send.
enum class retry_payer {
    nobody,          ///< It is free: the first arrival of its request.
    this_host,       ///< A retry of this host's budget is held for it.
    forwarding_host, ///< The host that forwarded the request has paid.
};

/// What is paid for the retries of one request at one host.
///
/// Each is paid for before it is sent, and the payment settled once it is known whether the send counts at
/// its upstream.
struct retry_payment {
    retry_payer payer = retry_payer::nobody; ///< Of the send in progress.
    int reserved = 0;                        ///< Held in this host's budget for sends that are still to come.
    int granted = 0; ///< Paid for by the host that forwarded the request here, and not used yet.

    bool operator==(const retry_payment&) const = default;
};

/// Pays for the next send, which is a retry: from what was granted or reserved, else from the budget. Returns
/// false if the budget is exhausted.
[[nodiscard]] bool try_pay(retry_payment& payment, shared_budget& budget,
                           const shared_budget_options& options, base::time_point now);

/// What happens to the payment for a send that doesn't count.
enum class refund_to { budget, reserve };

/// Ends the payment for the send in progress, if there is one: it is spent if the send counts at its
/// upstream, and returned otherwise. Returns whether it was returned.
bool settle(retry_payment& payment, shared_budget& budget, const shared_budget_options& options,
            bool does_count, refund_to refund, base::time_point now);

/// What a host to which a request was forwarded tells of its arrivals.
struct told_arrivals {
    arrival_account account{}; ///< Of all hosts, so far.
    int unused_retries = 0;    ///< Of those that the forwarding host has paid for.

    bool operator==(const told_arrivals&) const = default;
};

/// Takes over what the other host tells, or the worst if it tells nothing. The retry that was paid for it is
/// spent if the host used it, or may have; otherwise it stays held.
void take_over(arrival_account& account, retry_payment& payment, shared_budget& budget,
               const shared_budget_options& options, const std::optional<told_arrivals>& told,
               base::time_point now);

/// Retries to take from the budget until there are that many for sends to come.
[[nodiscard]] int missing_retries(const retry_payment& payment, int count);

/// Holds retries until there are that many for sends to come. Returns false if the budget is too low.
[[nodiscard]] bool try_reserve(retry_payment& payment, shared_budget& budget,
                               const shared_budget_options& options, int count, base::time_point now);

/// Returns to the budget what is held for more sends to come than that.
void release_reserved(retry_payment& payment, shared_budget& budget, int keep);

} // namespace postpaddle::decision
