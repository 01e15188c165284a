// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/endings/request_record.h>

#include <gateway/operations/decision_log.h>
#include <gateway/operations/gateway_metrics.h>

#include <algorithm>

namespace postpaddle::gateway {

namespace {

nlohmann::json describe(const gateway_request& request, request_ending ending, int status) {
    const gateway_state& state = *request.state;
    const base::duration elapsed = state.clock->now() - request.arrived;
    nlohmann::json fields = {{"host", state.process->name.value},
                             {"request", request.routed.id},
                             {"fingerprint", host::to_text(request.fingerprint)},
                             {"ending", to_text(ending)},
                             {"took_ms", base::to_milliseconds(elapsed)},
                             {"sends", request.sends}};
    if (request.settings)
        fields["settings_version"] = request.settings->document.value->version;
    if (request.route != nullptr)
        fields["route"] = request.route->name;
    if (request.forwarded_by)
        fields["forwarded_by"] = request.forwarded_by->value;
    if (request.organisation != nullptr)
        fields["organisation"] = request.organisation->id.value;
    if (!request.routed.shared_parts.empty())
        fields["shared_parts"] = request.routed.shared_parts;
    if (request.routed.prompt_tokens > 0) {
        fields["prompt_tokens"] = request.routed.prompt_tokens;
        fields["output_tokens"] = request.routed.output_tokens;
    }
    if (request.routed.time_left)
        fields["time_left_ms"] = request.routed.time_left->count();
    if (request.routed.resume_after)
        fields["resume_after"] = *request.routed.resume_after;
    if (!request.routed.resumes.empty())
        fields["resumes"] = request.routed.resumes;
    if (request.origin)
        fields["origin"] = {{"service", request.origin->service},
                            {"software_version", request.origin->software_version}};
    if (request.origin_source != nullptr)
        fields["origin_source"] = request.origin_source;
    if (request.first_event)
        fields["first_event_ms"] = base::to_milliseconds(*request.first_event);
    if (status != 0)
        fields["status"] = status;
    if (request.reason != nullptr)
        fields["reason"] = request.reason;
    if (!request.slot_facts.is_null())
        fields["place"] = request.slot_facts;
    if (!request.limit_facts.is_null())
        fields["limit"] = request.limit_facts;
    if (request.sends.size() > 1)
        fields["charged_retries"] = request.charged_retries;
    if (!request.budget_facts.is_null())
        fields["retry_budget"] = request.budget_facts;
    if (!request.recheck_facts.is_null())
        fields["recheck"] = request.recheck_facts;
    return fields;
}

/// Endings that are defects, or losses at a planned stop.
bool is_always_logged(request_ending ending) {
    return ending == request_ending::cut || ending == request_ending::unanswered;
}

bool is_waiting(const gateway_request& request) {
    return request.cancellation->wait_timer != nullptr ||
           std::ranges::any_of(request.state->waiting,
                               [&](const waiting_request* waiting) { return waiting->request == &request; });
}

} // namespace

const char* phase_of(const gateway_request& request) {
    if (request.connection->progress() != wire::response_progress::none)
        return "answering";
    if (request.cancellation->connection)
        return "at_upstream";
    if (is_waiting(request))
        return "waiting";
    return request.route == nullptr ? "arriving" : "between_sends";
}

const char* cause_without_answer(const gateway_request& request, request_ending ending) {
    const wire::caller_connection& connection = *request.connection;
    if (connection.progress() == wire::response_progress::whole)
        return nullptr;
    if (ending == request_ending::cut)
        return to_text(wire::connection_end::host_stopped);
    switch (connection.end()) {
    case wire::connection_end::none:
    case wire::connection_end::announced:
    case wire::connection_end::unannounced:
        return "unanswered";
    default:
        return to_text(connection.end());
    }
}

void record_request_end(gateway_request& request, request_ending ending, int status) {
    if (std::exchange(request.is_end_recorded, true))
        return;
    gateway_state& state = *request.state;
    state.metrics->count(std::string("requests_total{ending=\"") + to_text(ending) + "\"}");
    state.metrics->observe("request_seconds", state.clock->now() - request.arrived);
    nlohmann::json fields = describe(request, ending, status);
    fields["answer"] = wire::to_text(request.connection->progress());
    if (const wire::connection_end end = request.connection->end(); end != wire::connection_end::none)
        fields["connection_end"] = wire::to_text(end);
    if (const char* const cause = cause_without_answer(request, ending)) {
        fields["without_answer"] = cause;
        fields["phase"] = phase_of(request);
        state.metrics->count(std::string(lost_answers_metric) + "{cause=\"" + cause + "\"}");
    }
    record_completed(state, {request.routed.id, fields});
    if (is_always_logged(ending))
        state.log->write_always("request_ended", std::move(fields));
    else
        state.log->write("request_ended", std::move(fields));
}

void count_connection_end(gateway_state& state, const wire::caller_connection& connection) {
    const std::string cause = std::string("{cause=\"") + wire::to_text(connection.end()) + "\"}";
    state.metrics->count("caller_connections_ended_total" + cause);
    if (connection.has_partial_request())
        state.metrics->count("partial_requests_ended_total" + cause);
}

} // namespace postpaddle::gateway
