// SPDX-License-Identifier: BSD-2-Clause
#include <decision/shared_budget.h>

#include <algorithm>
#include <cmath>

namespace postpaddle::decision {

namespace {

/// Part of the slack that all buckets together may hold: what can be sent at once when an upstream fails.
/// Where many hosts share it, each one's part is a few sends, and what a full bucket can't take in is lost:
/// with 0.45 here and below, three deployments of 58 to 87 hosts earned 0.02 less of what their callers'
/// answers are worth.
constexpr double saved_part = 0.8;
/// Part of the slack that time adds within a window: it lets a new process send again before it has had many
/// requests. The two parts leave a tenth for hosts that have not yet heard of a new one, and for sends that
/// reach their upstream some time after they were spent.
constexpr double added_part = 0.1;
/// Part of the ratio that a request adds; the rest is for the same.
constexpr double ratio_part = 0.95;
/// Where there is no slack to share, a host saves up one send of the ratio of its own requests: with less it
/// could never spend any.
constexpr double least_saved = 1;

/// Sends that a host may save up. Where hosts outnumber them, whole ones go to so many hosts by their rank,
/// the others save none: with one for each, four hundred hosts saved up four hundred sends of a slack of 56.
double saved_at_most(const shared_budget_options& options) {
    if (options.slack <= 0)
        return least_saved;
    const double part = saved_part * options.slack / std::max(1, options.hosts);
    if (part >= least_saved)
        return part;
    return std::floor((options.rank + 1) * part) - std::floor(options.rank * part);
}

void fill(shared_budget& budget, const shared_budget_options& options, base::time_point now) {
    budget.level = sends_left(budget, options, now);
    budget.filled_at = std::max(budget.filled_at, now);
}

} // namespace

void note_request(shared_budget& budget, const shared_budget_options& options, base::time_point now) {
    fill(budget, options, now);
    budget.level = std::min(saved_at_most(options), budget.level + ratio_part * options.ratio);
}

double sends_left(const shared_budget& budget, const shared_budget_options& options, base::time_point now) {
    const double windows =
        std::max(0.0, base::to_seconds(now - budget.filled_at)) / base::to_seconds(options.window);
    const double added = windows * added_part * options.slack / std::max(1, options.hosts);
    return std::min(saved_at_most(options), budget.level + added);
}

bool try_spend(shared_budget& budget, const shared_budget_options& options, base::time_point now) {
    fill(budget, options, now);
    if (budget.level < 1)
        return false;
    budget.level -= 1;
    return true;
}

void give_back(shared_budget& budget, const shared_budget_options& options, base::time_point now) {
    fill(budget, options, now);
    budget.level = std::min(saved_at_most(options), budget.level + 1);
}

} // namespace postpaddle::decision
