// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/retry_payment.h>

namespace postpaddle::gateway {

namespace {

/// Records the state of the retry budget for the request's log line.
void record_budget_facts(gateway_request& request, int needed) {
    const gateway_state& state = *request.state;
    const decision::shared_budget_options options = budget_options_of(state);
    const base::time_point now = state.clock->now();
    request.budget_facts = {{"left", retries_left(request)},
                            {"needed", needed},
                            {"hosts", options.hosts},
                            {"host_up_ms", base::to_milliseconds(now - state.started)}};
}

} // namespace

double retries_left(const gateway_request& request) {
    gateway_state& state = *request.state;
    return decision::retries_left(budget_of(state, request.service), budget_options_of(state),
                                  state.clock->now());
}

bool can_pay_for_send(const gateway_request& request) {
    return !decision::is_retry(request.record.arrivals) ||
           decision::missing_retries(request.payment, 1) == 0 || retries_left(request) >= 1;
}

bool should_save_retries(const gateway_request& request) {
    gateway_state& state = *request.state;
    return decision::is_retry(request.record.arrivals) &&
           decision::is_scarce(budget_of(state, request.service), budget_options_of(state),
                               state.clock->now());
}

bool try_charge_send(gateway_request& request) {
    if (!decision::is_retry(request.record.arrivals))
        return true;
    gateway_state& state = *request.state;
    if (decision::missing_retries(request.payment, 1) > 0)
        record_budget_facts(request, 1);
    if (!decision::try_pay(request.payment, budget_of(state, request.service), budget_options_of(state),
                           state.clock->now())) {
        state.metrics->count("extra_sends_refused_total");
        return false;
    }
    ++request.charged_retries;
    state.metrics->count("extra_sends_total");
    return true;
}

void did_reach_upstream(gateway_request& request) { settle_send(request, true); }

void settle_send(gateway_request& request, bool does_count) {
    gateway_state& state = *request.state;
    const auto refund = request.reserves_retries ? decision::refund_to::reserve : decision::refund_to::budget;
    if (!decision::settle(request.payment, budget_of(state, request.service), budget_options_of(state),
                          does_count, refund, state.clock->now()))
        return;
    --request.charged_retries;
    state.metrics->count("extra_sends_given_back_total");
}

void take_over_arrivals(gateway_request& request, const std::optional<decision::told_arrivals>& told) {
    gateway_state& state = *request.state;
    decision::take_over(request.record.arrivals, request.payment, budget_of(state, request.service),
                        budget_options_of(state), told, state.clock->now());
}

bool try_reserve_retries(gateway_request& request, int count) {
    gateway_state& state = *request.state;
    const int missing = decision::missing_retries(request.payment, count);
    if (missing > 0)
        record_budget_facts(request, missing);
    return decision::try_reserve(request.payment, budget_of(state, request.service), budget_options_of(state),
                                 count, state.clock->now());
}

bool try_reserve_prompt_and_run(gateway_request& request) {
    return try_reserve_retries(request, decision::retries_for_prompt_and_run(request.record.arrivals));
}

void release_reserved_retries(gateway_request& request, int keep) {
    decision::release_reserved(request.payment, budget_of(*request.state, request.service), keep);
}

} // namespace postpaddle::gateway
