// SPDX-License-Identifier: BSD-2-Clause
#include <decision/shared_budget.h>

#include <algorithm>

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
/// A host whose part is smaller saves up one send all the same, else it could never spend any.
constexpr double least_saved = 1;

double saved_at_most(const shared_budget_options& options) {
    return std::max(least_saved, saved_part * options.slack / std::max(1, options.hosts));
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
