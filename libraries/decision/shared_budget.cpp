// SPDX-License-Identifier: BSD-2-Clause
#include <decision/shared_budget.h>

#include <algorithm>
#include <cmath>

namespace postpaddle::decision {

namespace {

/// Fraction of the slack that all hosts share.
constexpr double capacity_fraction = 0.8;
/// Fraction of the slack that new processes get within their first window, in addition to the share that
/// their predecessors may have spent. The two leave a tenth for hosts that have not learned of a new one yet.
constexpr double startup_fraction = 0.1;
/// Fraction of the ratio that a request adds; the rest is kept as the same reserve.
constexpr double ratio_fraction = 0.95;
/// Capacity where there is no slack to share: with less than one, the host could never spend the ratio of its
/// own requests.
constexpr double min_capacity = 1;
/// Part of the host's share in use from which its retries are scarce.
constexpr double scarce_fraction = 0.5;

/// Retries that this host may spend at once. Where hosts outnumber the available retries, whole retries are
/// assigned to hosts by rank and the others get none, so that the total stays within the slack.
double capacity_of(const shared_budget_options& options) {
    if (options.slack <= 0)
        return min_capacity;
    const double share = capacity_fraction * options.slack / std::max(1, options.hosts);
    if (share >= min_capacity)
        return share;
    return std::floor((options.rank + 1) * share) - std::floor(options.rank * share);
}

std::int64_t slot_number(base::duration window, base::time_point now) {
    const base::duration length = window / (shared_budget::slot_count - 1);
    return now.time_since_epoch() / std::max(length, base::duration(1));
}

budget_slot& slot_at(shared_budget& budget, std::int64_t number) {
    return budget.slots.at(static_cast<std::size_t>(number) % shared_budget::slot_count);
}

/// Drops the slots that have left the window.
void advance(shared_budget& budget, const shared_budget_options& options, base::time_point now) {
    // With another length of the window, the slots say nothing: begin as a new process does.
    if (budget.window != options.window)
        budget = {.window = options.window,
                  .started = budget.window == base::duration{} ? budget.started : now,
                  .held = budget.held};
    const std::int64_t number = slot_number(budget.window, now);
    const auto count = static_cast<std::int64_t>(shared_budget::slot_count);
    const std::int64_t first_new = std::max(budget.newest + 1, number - count + 1);
    for (std::int64_t next = first_new; next <= number; ++next)
        slot_at(budget, next) = {};
    budget.newest = std::max(budget.newest, number);
}

/// Adds retries, or what a request adds if negative.
void add(shared_budget& budget, const shared_budget_options& options, double retries, base::time_point now) {
    advance(budget, options, now);
    budget_slot& slot = slot_at(budget, budget.newest);
    slot.net += retries;
    slot.peak = std::max(0.0, slot.peak + retries);
}

/// Retries minus those that requests added, within the window.
struct net_spending {
    double whole = 0; ///< In all of it.
    double peak = 0;  ///< The largest of any span that ends now; 0 at least.
};

net_spending sum_up(const shared_budget& budget, base::time_point now) {
    net_spending sum;
    const auto count = static_cast<std::int64_t>(shared_budget::slot_count);
    const std::int64_t oldest = std::max(slot_number(budget.window, now), budget.newest) - count + 1;
    for (std::int64_t number = budget.newest; number >= std::max<std::int64_t>(0, oldest); --number) {
        const budget_slot& slot =
            budget.slots.at(static_cast<std::size_t>(number) % shared_budget::slot_count);
        sum.peak = std::max(sum.peak, sum.whole + slot.peak);
        sum.whole += slot.net;
    }
    return sum;
}

} // namespace

void record_request(shared_budget& budget, const shared_budget_options& options, base::time_point now) {
    add(budget, options, -ratio_fraction * options.ratio, now);
}

double retries_left(const shared_budget& budget, const shared_budget_options& options, base::time_point now) {
    const net_spending spent = sum_up(budget, now);
    double left = capacity_of(options) - spent.peak;
    // Without slack nothing comes back but what requests add.
    if (options.slack <= 0)
        left = std::min(left, -spent.whole);
    const base::duration up = std::max(base::duration{}, now - budget.started);
    if (up < options.window) {
        const double part = base::to_seconds(up) / base::to_seconds(options.window);
        const double startup = startup_fraction * options.slack * part / std::max(1, options.hosts);
        left = std::min(left, startup - spent.whole);
    }
    return std::max(0.0, left - budget.held);
}

bool is_scarce(const shared_budget& budget, const shared_budget_options& options, base::time_point now) {
    const double used = sum_up(budget, now).peak + budget.held;
    return used > scarce_fraction * capacity_of(options);
}

bool try_hold(shared_budget& budget, const shared_budget_options& options, int count, base::time_point now) {
    if (retries_left(budget, options, now) < count)
        return false;
    budget.held += count;
    return true;
}

void spend_held(shared_budget& budget, const shared_budget_options& options, base::time_point now) {
    --budget.held;
    add(budget, options, 1, now);
}

void release_held(shared_budget& budget, int count) { budget.held -= count; }

} // namespace postpaddle::decision
