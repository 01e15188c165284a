// SPDX-License-Identifier: BSD-2-Clause
#include <decision/shared_budget.h>

#include <algorithm>

namespace postpaddle::decision {

namespace {

/// Length of one span; windows are counted in whole spans, to the safe side.
constexpr base::duration span_length = std::chrono::milliseconds(500);
/// Part of the bound that is spent; the rest covers sends that arrive later than they were counted.
constexpr double spent_part = 0.8;

budget_span& current_span(shared_budget& budget, const shared_budget_options& options, base::time_point now) {
    while (!budget.spans.empty() && now - budget.spans.front().begin > options.window + span_length)
        budget.spans.pop_front();
    if (budget.spans.empty() || now - budget.spans.back().begin >= span_length)
        budget.spans.push_back({now, 0, 0});
    return budget.spans.back();
}

} // namespace

void note_request(shared_budget& budget, const shared_budget_options& options, base::time_point now) {
    ++current_span(budget, options, now).requests;
}

void note_extra(shared_budget& budget, const shared_budget_options& options, base::time_point now) {
    ++current_span(budget, options, now).extras;
}

double sends_left(const shared_budget& budget, const shared_budget_options& options, int hosts,
                  base::time_point now) {
    int requests = 0;
    int extras = 0;
    for (const budget_span& span : budget.spans) {
        if (now - span.begin > options.window + span_length)
            continue;
        requests += span.requests;
        extras += span.extras;
    }
    const double part = options.slack / std::max(1, hosts);
    return spent_part * (options.ratio * requests + part) - extras;
}

bool try_spend(shared_budget& budget, const shared_budget_options& options, int hosts, base::time_point now) {
    if (sends_left(budget, options, hosts, now) < 1)
        return false;
    ++current_span(budget, options, now).extras;
    return true;
}

} // namespace postpaddle::decision
