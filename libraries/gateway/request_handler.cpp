// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/request_handler.h>

#include <gateway/caller_identity.h>
#include <gateway/endings/open_request.h>
#include <gateway/endings/request_drain.h>
#include <gateway/endings/request_guard.h>
#include <gateway/endings/request_record.h>
#include <gateway/plain/plain_relay.h>
#include <gateway/quarantine/request_quarantine.h>
#include <gateway/store_sync/registry_lease.h>
#include <gateway/stream_origin/request_origin.h>
#include <gateway/streams/stream_relay.h>
#include <gateway/unsent_data_bound.h>

#include <algorithm>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;

constexpr int bad_request_status = 400;
constexpr int unauthorised_status = 401;
constexpr int not_found_status = 404;
constexpr int too_slow_status = 408;
constexpr int too_large_status = 413;
constexpr int head_too_large_status = 431;
constexpr int over_limit_status = 429;
constexpr int unavailable_status = 503;
/// Of the time that a request has left, one part in so many may go by until this host's knowledge is recent.
constexpr int max_lease_wait_part = 4;
/// Retry-After of a host that has no memory for a request's body. Other hosts may have.
constexpr base::duration memory_retry_after = 500ms;
/// Retry-After of a host that has just started and has no settings yet.
constexpr base::duration settings_retry_after = 500ms;

int status_of(const wire::wire_error& error) {
    switch (error.failure) {
    case wire::wire_failure::malformed:
        return bad_request_status;
    case wire::wire_failure::too_large:
        return too_large_status;
    case wire::wire_failure::head_too_large:
        return head_too_large_status;
    case wire::wire_failure::late:
        return too_slow_status;
    case wire::wire_failure::no_room:
        return unavailable_status;
    default:
        return 0;
    }
}

wire::http_response rejection(int status, const char* reason) {
    wire::http_response response{status, {}, ""};
    response.headers.push_back({"Postpaddle-Outcome", "not-run"});
    response.headers.push_back({"Postpaddle-Reason", reason});
    return response;
}

} // namespace

void reject(gateway_request& request, int status, const char* reason, wire::yield_context yield,
            std::optional<base::duration> retry_after) {
    wire::http_response response = rejection(status, reason);
    if (retry_after)
        response.headers.push_back({"Retry-After", format_seconds(*retry_after)});
    label_answer(request, response.headers, forwarding_outcome::refused, request.record);
    request.reason = reason;
    (void)request.connection->send(response, yield);
    record_request_end(request, retry_after ? request_ending::not_run : request_ending::rejected, status);
}

decision::attempt_record make_record(const settings::route_entry& route) {
    decision::attempt_record record;
    record.is_repeatable =
        route.kind == settings::route_kind::repeatable || settings::is_resumable_stream(route);
    record.max_attempts = std::max(1, route.max_attempts);
    return record;
}

void set_order(gateway_request& request) {
    request.rank = rank_of(*request.settings, request.service,
                           request.organisation == nullptr ? std::nullopt
                                                           : std::optional(request.organisation->priority),
                           request.route->priority, request.state->process->policy);
    request.share_key = host::key_of(request.service, request.routed.organisation);
}

namespace {

void prepare_request(gateway_request& request) {
    gateway_state& state = *request.state;
    std::uniform_real_distribution<double> draw(0, 1);
    request.service = request.origin ? request.origin->service
                                     : decision::choose_service(*request.route, draw(state.random));
    set_part_prints(request);
    request.record = make_record(*request.route);
    set_order(request);
    base::duration timeout = request.route->time_limit;
    if (request.routed.time_left)
        timeout = std::min<base::duration>(timeout, *request.routed.time_left);
    request.deadline = request.arrived + timeout;
    limit_to_drain(request);
    request.first_try = request.arrived;
    if (request.routed.time_left) {
        decision::caller_timeouts& learned_timeout = state.caller_timeouts[request.route->name];
        decision::record_time_left(learned_timeout, *request.routed.time_left);
        request.first_try -= decision::time_since_first_attempt(learned_timeout, *request.routed.time_left);
    }
    decision::record_request(budget_of(state, request.service), budget_options_of(state), request.arrived);
}

request_ending relay(gateway_request& request, wire::yield_context yield) {
    const settings::service_entry* const service = service_of(request);
    const bool uses_engines = request.route->kind == settings::route_kind::stream ||
                              (service != nullptr && service->engine.has_value());
    if (uses_engines)
        return stream_relay(request).run(yield);
    return relay_plain(request, yield);
}

} // namespace

void relay_request(gateway_request& request, wire::yield_context yield) {
    request.connection->watch_for_disconnect(
        [cancellation = request.cancellation] { cancellation->did_lose_caller(); });
    const unsent_data_bound::scoped_reader reader(*request.state->unsent_data, request);
    const request_ending ending = relay(request, yield);
    request.connection->stop_watching();
    refund_if_not_run(request);
    record_request_end(request, ending);
}

namespace {

/// Delays requests that arrive right after the start until settings and registry have been read, up to a
/// limit.
void await_initial_state(const gateway_request& request, wire::yield_context yield) {
    static constexpr base::duration max_wait = 250ms;
    static constexpr base::duration poll_interval = 5ms;
    const gateway_state& state = *request.state;
    const base::time_point deadline = state.started + max_wait;
    while ((!state.settings || !state.has_registry) && state.clock->now() < deadline &&
           !is_wait_over(request))
        pause_request(request, poll_interval, yield);
}

void serve_request(gateway_request& request, wire::http_request message, wire::yield_context yield) {
    gateway_state& state = *request.state;
    if (state.process->policy.wait_for_initial_state)
        await_initial_state(request, yield);
    request.arrived = state.clock->now();
    request.settings = state.settings;
    auto routed = state.protocol.read_request(std::move(message));
    if (!routed)
        return reject(request, bad_request_status, "the request can't be read", yield);
    request.routed = std::move(*routed);
    if (!request.settings)
        return reject(request, unavailable_status, "no settings are known yet", yield, settings_retry_after);
    request.route =
        decision::find_route(request.settings->routes, request.routed.host, request.routed.message.target);
    if (request.route == nullptr)
        return reject(request, not_found_status, "no route", yield);
    if (request.routed.id.empty())
        return reject(request, bad_request_status, "the request has no id", yield);
    wire::remove_connection_headers(request.routed.message.headers);
    request.checked_settings = request.settings;
    if (!identify_caller(request)) {
        state.metrics->count("unauthorised_total");
        return reject(request, unauthorised_status, "the key is missing or not known", yield);
    }
    set_fingerprint(request);
    await_exit_checks(request, yield);
    if (const auto remaining = quarantine_time_left(request)) {
        state.metrics->count("held_requests_refused_total");
        return reject(request, unavailable_status, quarantine_reason, yield, remaining);
    }
    if (const char* const reason = resolve_stream_origin(request, yield))
        return reject(request, unavailable_status, reason, yield, unknown_origin_retry_after);
    if (const char* const reason = reason_without_version(request))
        return reject(request, unavailable_status, reason, yield);
    if (const auto wait = count_against_limit(request)) {
        state.metrics->count("over_limit_total");
        return reject(request, over_limit_status, "over the organisation's limit", yield, wait);
    }
    prepare_request(request);
    if (!await_registry_lease(request, time_left(request) / max_lease_wait_part, yield)) {
        state.metrics->count("refused_on_old_registry_total");
        refund_if_not_run(request);
        return reject(request, unavailable_status, old_registry_reason, yield, old_registry_retry_after);
    }
    // The parts of its prompt are known by their service.
    if (const auto remaining = quarantine_time_left(request)) {
        state.metrics->count("held_requests_refused_total");
        refund_if_not_run(request);
        return reject(request, unavailable_status, quarantine_reason, yield, remaining);
    }
    relay_request(request, yield);
}

} // namespace

namespace {

/// The answer to a request that was not read whole, which has run nowhere.
wire::http_response answer_to_unread(gateway_state& state, const wire::wire_error& error, int status) {
    wire::http_response response = rejection(status, wire::to_text(error.failure));
    if (error.failure == wire::wire_failure::no_room) {
        state.metrics->count("requests_without_room_total");
        response.headers.push_back({"Retry-After", format_seconds(memory_retry_after)});
    } else {
        state.metrics->count("malformed_requests_total");
    }
    return response;
}

void serve_requests(gateway_state& state, wire::caller_connection& connection, wire::yield_context yield) {
    while (!connection.is_closed()) {
        auto message = connection.read_request(yield);
        if (!message) {
            const int status = status_of(message.error());
            if (status == 0)
                return;
            connection.send_and_close(answer_to_unread(state, message.error(), status), yield);
            connection.abort(message.error().failure == wire::wire_failure::late
                                 ? wire::connection_end::late_request
                                 : wire::connection_end::unreadable_request);
            return;
        }
        if (state.is_draining)
            connection.close_after_response();
        {
            open_request open(state, connection);
            const auto serve = [&] { serve_request(open.request(), std::move(*message), yield); };
            serve_to_end(open.request(), serve, yield);
        }
        if (!connection.is_keep_alive())
            return;
    }
}

} // namespace

void serve_caller(gateway_state& state, wire::caller_connection& connection, wire::yield_context yield) {
    serve_requests(state, connection, yield);
    count_connection_end(state, connection);
}

} // namespace postpaddle::gateway
