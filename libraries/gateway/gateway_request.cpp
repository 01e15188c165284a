// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/gateway_request.h>

#include <gateway/forwarding/upstream_reach.h>
#include <gateway/quarantine/request_quarantine.h>
#include <gateway/stream_origin/request_origin.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace postpaddle::gateway {

namespace {

constexpr int not_run_status = 503;
constexpr int failed_status = 502;
constexpr int timed_out_status = 504;
constexpr int unauthorised_status = 401;

std::string format_retry_after(const gateway_request& request) {
    if (const auto remaining = quarantine_time_left(request))
        return format_seconds(*remaining);
    const base::duration max_wait = base::from_seconds(request.state->process->max_retry_after);
    if (request.retry_delay)
        return format_seconds(std::min(*request.retry_delay, max_wait));
    return format_seconds(decision::retry_after(time_left(request), max_wait, request.time_until_slot));
}

int status_of(decision::local_response answer) {
    switch (answer) {
    case decision::local_response::not_run:
        return not_run_status;
    case decision::local_response::failed:
        return failed_status;
    case decision::local_response::timed_out:
        return timed_out_status;
    }
    return failed_status;
}

const char* outcome_of(decision::local_response answer) {
    return answer == decision::local_response::not_run ? "not-run" : "unknown";
}

double mean_hold_seconds(const gateway_request& request) {
    const settings::service_entry* const service = service_of(request);
    return service == nullptr || !service->engine
               ? 0
               : decision::hold_seconds(profile_of(request), service->engine->tokens_per_event);
}

} // namespace

std::string format_seconds(base::duration value) {
    std::array<char, 32> text{};
    (void)std::snprintf(text.data(), text.size(), "%.2f", base::to_seconds(value));
    return text.data();
}

const settings::service_entry* service_of(const gateway_request& request) {
    const auto& services = request.settings->document.value->services;
    const auto found = services.find(request.service);
    return found == services.end() ? nullptr : &found->second;
}

decision::service_profile& profile_of(const gateway_request& request) {
    return request.state->profiles[request.service];
}

namespace {

/// How long a host waits before streams begin at a software version that is new to it. By then every host
/// whose registry is up to date knows the version.
base::duration settling_time(const gateway_state& state) {
    return base::duration(registry_bound(state)) * 3 / 2;
}

} // namespace

decision::choice_context choice_context_of(const gateway_request& request) {
    const gateway_state& state = *request.state;
    const base::time_point now = state.clock->now();
    std::set<std::string> unsettled;
    version_choice versions;
    if (begins_resumable_stream(request)) {
        versions = choose_versions(request);
        unsettled = decision::unsettled_versions(state.software_versions, state.instances, request.service,
                                                 settling_time(state), now);
    }
    return {.service = request.service,
            .own_zone = request.state->process->availability_zone,
            .excluded = request.tried,
            .holding = request.holding,
            .software_version =
                request.origin ? std::optional(request.origin->software_version) : versions.only,
            .unsettled_versions = std::move(unsettled),
            .preferred_versions = std::move(versions.preferred),
            .now = now,
            .speed = profile_of(request).speed,
            .hold_seconds = mean_hold_seconds(request),
            .limits = placement_limits_of(request)};
}

namespace {

std::set<base::zone_id> zones_in(const settings::gateway_settings& process,
                                 const std::set<base::region_id>& regions) {
    std::set<base::zone_id> zones;
    for (const auto& [zone, region] : process.regions)
        if (regions.contains(region))
            zones.insert(zone);
    return zones;
}

} // namespace

decision::placement_limits placement_limits_of(const gateway_request& request) {
    const settings::gateway_settings& process = *request.state->process;
    const settings::service_entry* const service = service_of(request);
    const decision::rate_group sharers = rate_group_of(*request.state);
    decision::placement_limits limits{
        .allowed_zones = std::nullopt,
        .warm_up = {.per_second = service == nullptr ? 0 : service->cold_requests_per_second,
                    .group = sharers},
        .group = sharers};
    if (!request.route->allowed_regions.empty())
        limits.allowed_zones = zones_in(process, request.route->allowed_regions);
    if (request.organisation == nullptr || request.organisation->allowed_regions.empty())
        return limits;
    const auto organisation_zones = zones_in(process, request.organisation->allowed_regions);
    if (limits.allowed_zones)
        std::erase_if(*limits.allowed_zones,
                      [&](const auto& zone) { return !organisation_zones.contains(zone); });
    else
        limits.allowed_zones = organisation_zones;
    return limits;
}

base::time_point waiting_since(const gateway_request& request) {
    return request.state->process->policy.order_by_first_try ? request.first_try : request.arrived;
}

base::duration time_left(const gateway_request& request) {
    return request.deadline - request.state->clock->now();
}

bool may_be_sent_again(gateway_request& request) {
    return reason_to_stop(request) == nullptr && reason_without_version(request) == nullptr &&
           !is_exit_check_pending(request);
}

void label_answer(const gateway_request& request, wire::http_headers& headers, forwarding_outcome outcome,
                  const decision::attempt_record& record) {
    if (request.forwarded_by)
        set_forwarding_label(
            headers, {.outcome = outcome,
                      .attempts = record.attempts,
                      .software_version = request.origin ? request.origin->software_version : "",
                      .suspects = encode_suspects(request),
                      .arrivals = decision::told_arrivals{.account = record.arrivals,
                                                          .unused_retries = request.payment.granted}});
}

namespace {

/// Whether a request is refused only because this host stops, and another one may serve it.
bool is_refused_by_drain(const gateway_request& request) {
    return request.state->is_draining && !request.is_key_revoked && !quarantine_time_left(request);
}

/// What an answer generated by this host means to the one that forwarded the request.
forwarding_outcome outcome_for_sender(const gateway_request& request) {
    if (request.record.may_have_run)
        return forwarding_outcome::may_have_run;
    if (is_service_unreachable(*request.state, request.service))
        return forwarding_outcome::unreachable;
    const bool may_be_served = request.record.failed_connects > 0 || is_refused_by_drain(request);
    return may_be_served ? forwarding_outcome::unavailable : forwarding_outcome::refused;
}

} // namespace

request_ending answer_locally(gateway_request& request, decision::attempt_result last, const char* reason,
                              wire::yield_context yield) {
    const decision::local_response answer = decision::local_response_for(request.record, last);
    request.reason = reason;
    wire::http_response response;
    const bool is_key_revoked = request.is_key_revoked && answer == decision::local_response::not_run;
    response.status = is_key_revoked ? unauthorised_status : status_of(answer);
    response.headers.push_back({"Postpaddle-Outcome", outcome_of(answer)});
    response.headers.push_back({"Postpaddle-Reason", reason});
    if (answer == decision::local_response::not_run && !is_key_revoked)
        response.headers.push_back({"Retry-After", format_retry_after(request)});
    if (request.forwarded_by)
        await_all_exit_checks(request, yield);
    label_answer(request, response.headers, outcome_for_sender(request), request.record);
    (void)request.connection->send(response, yield);
    return answer == decision::local_response::not_run ? request_ending::not_run : request_ending::failed;
}

request_ending forward_answer(gateway_request& request, const wire::response_head& head, std::string body,
                              wire::yield_context yield) {
    wire::http_response response{head.status, head.headers, std::move(body)};
    wire::remove_connection_headers(response.headers);
    label_answer(request, response.headers, forwarding_outcome::answered, request.record);
    const bool is_sent = request.connection->send(response, yield).has_value();
    return is_sent ? request_ending::passed_on : request_ending::caller_gone;
}

std::optional<request_ending> end_after_refusal(gateway_request& request, const wire::response_head& head,
                                                std::string body, wire::yield_context yield) {
    if (request.record.may_have_run) {
        request.is_forwarding_exhausted = true;
        return std::nullopt;
    }
    request.reason = "another host refused it";
    const request_ending ending = forward_answer(request, head, std::move(body), yield);
    return ending == request_ending::passed_on ? request_ending::not_run : ending;
}

const char* to_text(request_ending ending) {
    switch (ending) {
    case request_ending::passed_on:
        return "passed_on";
    case request_ending::not_run:
        return "not_run";
    case request_ending::failed:
        return "failed";
    case request_ending::broken_off:
        return "broken_off";
    case request_ending::caller_gone:
        return "caller_gone";
    case request_ending::rejected:
        return "rejected";
    case request_ending::cut:
        return "cut";
    case request_ending::unanswered:
        return "unanswered";
    }
    return "unknown";
}

} // namespace postpaddle::gateway
