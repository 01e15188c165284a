// SPDX-License-Identifier: BSD-2-Clause
#include <service/filter_chain.h>

#include <array>

namespace postpaddle::service {

namespace {

constexpr std::array<filter, 6> filters = {authenticate,        check_quarantine, check_limits,
                                           check_repeatability, decide,           relay};

request_end request_end_of(const request_context& context, const filter_result& result) {
    if (result)
        return request_end::complete;
    if (context.connection->is_closed())
        return request_end::cancelled;
    switch (result.error().outcome) {
    case run_outcome::not_run:
        return request_end::refused;
    case run_outcome::unknown:
        return request_end::unknown;
    case run_outcome::failed:
        return request_end::failed;
    }
    return request_end::failed;
}

/// The outcome to record in the log for the request's idempotency key.
host::claim_outcome claim_outcome_of(const request_context& context, const filter_result& result) {
    if (result)
        return host::claim_outcome::succeeded;
    if (context.connection->is_closed())
        return context.lifecycle.outcome() == run_outcome::not_run ? host::claim_outcome::not_run
                                                                   : host::claim_outcome::unknown;
    switch (result.error().outcome) {
    case run_outcome::not_run:
        return host::claim_outcome::not_run;
    case run_outcome::unknown:
        return host::claim_outcome::unknown;
    case run_outcome::failed:
        return host::claim_outcome::failed;
    }
    return host::claim_outcome::unknown;
}

void send_problem(request_context& context, const problem_details& problem, wire::yield_context yield) {
    if (context.connection->is_closed())
        return;
    if (context.has_response_started) {
        // Part of the stream has been sent: end it with an error event so that it cannot be taken for
        // complete.
        (void)context.connection->append("data: " + to_error_event(problem, context.id.value) + "\n\n");
        (void)context.connection->end_stream(yield);
        return;
    }
    (void)context.connection->send(to_response(problem, context.id.value), yield);
}

void finish_request(request_context& context, const filter_result& result) {
    if (context.is_counted_in_limits)
        context.services->limits->release_request(context.policy->id);
    if (context.held_claim)
        context.services->claims->report_outcome(
            {context.held_claim->key, context.held_claim->request, claim_outcome_of(context, result)});
    if (context.policy == nullptr)
        return;
    context.observation.organisation = context.policy->id;
    context.observation.end = request_end_of(context, result);
    context.services->process_metrics->observe(context.observation);
}

} // namespace

void run_filters(request_context& context, wire::yield_context yield) {
    ++context.services->process_metrics->counters.requests_in_progress;
    filter_result result;
    for (const filter step : filters) {
        result = step(context, yield);
        if (!result)
            break;
    }
    if (!result)
        send_problem(context, result.error(), yield);
    finish_request(context, result);
    --context.services->process_metrics->counters.requests_in_progress;
}

} // namespace postpaddle::service
