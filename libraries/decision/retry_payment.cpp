// SPDX-License-Identifier: BSD-2-Clause
#include <decision/retry_payment.h>

#include <algorithm>
#include <utility>

namespace postpaddle::decision {

bool try_pay(retry_payment& payment, shared_budget& budget, const shared_budget_options& options,
             base::time_point now) {
    if (payment.granted > 0) {
        --payment.granted;
        payment.payer = retry_payer::forwarding_host;
        return true;
    }
    if (!try_reserve(payment, budget, options, 1, now))
        return false;
    --payment.reserved;
    payment.payer = retry_payer::this_host;
    return true;
}

bool settle(retry_payment& payment, shared_budget& budget, const shared_budget_options& options,
            bool does_count, refund_to refund, base::time_point now) {
    const retry_payer payer = std::exchange(payment.payer, retry_payer::nobody);
    if (payer == retry_payer::nobody)
        return false;
    if (payer == retry_payer::forwarding_host)
        payment.granted += does_count ? 0 : 1;
    else if (does_count)
        spend_held(budget, options, now);
    else if (refund == refund_to::reserve)
        ++payment.reserved;
    else
        release_held(budget, 1);
    return !does_count;
}

void take_over(arrival_account& account, retry_payment& payment, shared_budget& budget,
               const shared_budget_options& options, const std::optional<told_arrivals>& told,
               base::time_point now) {
    if (told)
        take_over(account, told->account);
    else
        assume_arrived(account);
    if (!told || told->unused_retries == 0)
        settle(payment, budget, options, true, refund_to::budget, now);
}

int missing_retries(const retry_payment& payment, int count) {
    return std::max(0, count - payment.granted - payment.reserved);
}

bool try_reserve(retry_payment& payment, shared_budget& budget, const shared_budget_options& options,
                 int count, base::time_point now) {
    const int missing = missing_retries(payment, count);
    if (missing > 0 && !try_hold(budget, options, missing, now))
        return false;
    payment.reserved += missing;
    return true;
}

void release_reserved(retry_payment& payment, shared_budget& budget, int keep) {
    const int kept = std::min(payment.reserved, keep);
    release_held(budget, payment.reserved - kept);
    payment.reserved = kept;
}

} // namespace postpaddle::decision
