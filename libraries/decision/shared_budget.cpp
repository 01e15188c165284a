// SPDX-License-Identifier: BSD-2-Clause
#include <decision/shared_budget.h>

#include <algorithm>
#include <cmath>

namespace postpaddle::decision {

namespace {

/// Fraction of the slack that all buckets together may hold: the retries available at once when an upstream
/// fails. Where many hosts share it, each host's share is a few retries, and tokens that arrive at a full
/// bucket are lost: with 0.45 here and for `refill_fraction`, three deployments of 58 to 87 hosts earned 0.02
/// less of the value of their callers' answers.
constexpr double capacity_fraction = 0.8;
/// Fraction of the slack that time adds within a window, so that a new process can retry before it has had
/// many requests. The two fractions leave a tenth for hosts that have not learned of a new one yet, and for
/// retries that reach their upstream some time after they were spent.
constexpr double refill_fraction = 0.1;
/// Fraction of the ratio that a request adds; the rest is kept as the same reserve.
constexpr double ratio_fraction = 0.95;
/// Capacity where there is no slack to share: with less than one, the host could never spend the ratio of its
/// own requests.
constexpr double min_capacity = 1;

/// Capacity of this host's bucket. Where hosts outnumber the available retries, whole retries are assigned to
/// hosts by rank and the others get none, so that the total stays within the slack: with one retry for each
/// host, 400 hosts saved up 400 retries of a slack of 56.
double capacity_of(const shared_budget_options& options) {
    if (options.slack <= 0)
        return min_capacity;
    const double share = capacity_fraction * options.slack / std::max(1, options.hosts);
    if (share >= min_capacity)
        return share;
    return std::floor((options.rank + 1) * share) - std::floor(options.rank * share);
}

/// Retries that the bucket can hold beside the reserved ones.
double room_in(const shared_budget& budget, const shared_budget_options& options) {
    return std::max(0.0, capacity_of(options) - budget.reserved);
}

void refill(shared_budget& budget, const shared_budget_options& options, base::time_point now) {
    budget.level = retries_left(budget, options, now);
    budget.filled_at = std::max(budget.filled_at, now);
}

} // namespace

void record_request(shared_budget& budget, const shared_budget_options& options, base::time_point now) {
    refill(budget, options, now);
    budget.level = std::min(room_in(budget, options), budget.level + ratio_fraction * options.ratio);
}

double retries_left(const shared_budget& budget, const shared_budget_options& options, base::time_point now) {
    const double windows =
        std::max(0.0, base::to_seconds(now - budget.filled_at)) / base::to_seconds(options.window);
    const double added = windows * refill_fraction * options.slack / std::max(1, options.hosts);
    return std::min(room_in(budget, options), budget.level + added);
}

bool try_spend(shared_budget& budget, const shared_budget_options& options, base::time_point now) {
    refill(budget, options, now);
    if (budget.level < 1)
        return false;
    budget.level -= 1;
    return true;
}

bool try_reserve(shared_budget& budget, const shared_budget_options& options, int count,
                 base::time_point now) {
    refill(budget, options, now);
    if (budget.level < count)
        return false;
    budget.level -= count;
    budget.reserved += count;
    return true;
}

void spend_reserved(shared_budget& budget) { --budget.reserved; }

void refund_reserved(shared_budget& budget, const shared_budget_options& options) {
    ++budget.reserved;
    // The bucket may have filled up since the retry was spent.
    budget.level = std::min(room_in(budget, options), budget.level);
}

void release_reserved(shared_budget& budget, const shared_budget_options& options, int count,
                      base::time_point now) {
    refill(budget, options, now);
    budget.reserved -= count;
    budget.level = std::min(room_in(budget, options), budget.level + count);
}

void refund(shared_budget& budget, const shared_budget_options& options, base::time_point now) {
    refill(budget, options, now);
    budget.level = std::min(room_in(budget, options), budget.level + 1);
}

} // namespace postpaddle::decision
