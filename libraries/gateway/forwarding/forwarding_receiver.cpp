// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/forwarding/forwarding_receiver.h>

#include <gateway/endings/open_request.h>
#include <gateway/endings/request_drain.h>
#include <gateway/endings/request_guard.h>
#include <gateway/forwarding/forwarded_request.h>
#include <gateway/forwarding/upstream_reach.h>
#include <gateway/quarantine/request_quarantine.h>
#include <gateway/request_handler.h>
#include <gateway/stream_origin/request_origin.h>
#include <wire/endpoint.h>

#include <algorithm>

namespace postpaddle::gateway {

namespace {

constexpr int bad_request_status = 400;
constexpr int forbidden_status = 403;
constexpr int unavailable_status = 503;
/// Forwarded requests in progress, as a fraction of the connections that callers may have: they need memory
/// and descriptors like those.
constexpr int max_forwarded_divisor = 4;

/// Whether the connection comes from the address of the host that the request names.
bool is_known_host(const gateway_state& state, const base::host_id& name,
                   const wire::caller_connection& connection) {
    const auto known = state.peers.by_name.find(name);
    if (known == state.peers.by_name.end())
        return false;
    const auto endpoint = wire::parse_endpoint(known->second.address);
    return endpoint && endpoint->address().to_string() == connection.remote_address();
}

/// Why this host takes no forwarded request for the service at the moment, if so.
std::optional<forwarding_outcome> reason_to_decline(const gateway_state& state,
                                                    const forwarded_request& forwarded) {
    const int max_forwarded =
        std::max(1, static_cast<int>(state.process->connections) / max_forwarded_divisor);
    if (state.is_draining || !state.has_registry || state.forwarded_in_progress >= max_forwarded)
        return forwarding_outcome::unavailable;
    if (settings_version(state) != forwarded.settings_version)
        return forwarding_outcome::other_settings;
    if (is_service_unreachable(state, forwarded.service))
        return forwarding_outcome::unreachable;
    return std::nullopt;
}

/// Finds route, service and organisation in this host's settings. Returns whether all are there.
bool resolve(gateway_request& request, const forwarded_request& forwarded) {
    const settings::routing_settings& settings = *request.settings->document.value;
    request.route =
        decision::find_route(request.settings->routes, request.routed.host, request.routed.message.target);
    if (request.route == nullptr)
        return false;
    request.service = forwarded.service;
    if (std::ranges::none_of(request.route->services,
                             [&](const auto& choice) { return choice.service == forwarded.service; }))
        return false;
    if (forwarded.organisation.is_empty())
        return true;
    const auto organisation = settings.organisations.find(forwarded.organisation);
    if (organisation == settings.organisations.end())
        return false;
    request.organisation = &organisation->second;
    request.routed.organisation = forwarded.organisation;
    request.needs_key = true;
    return true;
}

void set_time(gateway_request& request, const forwarded_request& forwarded) {
    request.routed.time_left = forwarded.time_left;
    request.deadline = request.arrived + forwarded.time_left;
    limit_to_drain(request);
    request.first_try = request.arrived - forwarded.since_first_try;
}

/// Prepares the request like one of this host's own callers. Returns whether it can be served here.
bool prepare(gateway_request& request, forwarded_request forwarded) {
    gateway_state& state = *request.state;
    request.arrived = state.clock->now();
    request.settings = state.settings;
    request.checked_settings = request.settings;
    request.forwarded_by = forwarded.from;
    request.fingerprint = forwarded.fingerprint;
    auto routed = state.protocol.read_request(std::move(forwarded.message));
    if (!routed)
        return false;
    request.routed = std::move(*routed);
    if (forwarded.resume_after)
        request.routed.resume_after = forwarded.resume_after;
    if (!resolve(request, forwarded))
        return false;
    request.journal = {.is_unclear = forwarded.journal_revisions > 0,
                       .revisions = forwarded.journal_revisions};
    if (!forwarded.software_version.empty())
        request.origin =
            host::stream_origin{.service = forwarded.service, .software_version = forwarded.software_version};
    set_part_prints(request);
    request.record = make_record(*request.route);
    request.record.max_attempts = std::min(request.record.max_attempts, forwarded.max_attempts);
    request.record.prompts = forwarded.accepted_prompts;
    request.record.arrivals = forwarded.arrivals;
    request.payment.granted = forwarded.paid_retries;
    set_time(request, forwarded);
    set_order(request);
    return true;
}

void decline(gateway_state& state, wire::caller_connection& connection, forwarding_outcome outcome,
             const decision::told_arrivals& arrivals, wire::yield_context yield) {
    state.metrics->count(std::string("forwarded_declined_total{reason=\"") + to_text(outcome) + "\"}");
    wire::http_response response{unavailable_status, {}, ""};
    set_forwarding_label(response.headers, {.outcome = outcome, .arrivals = arrivals});
    (void)connection.send(response, yield);
}

/// Counts a forwarded request as in progress.
class scoped_forwarded {
public:
    explicit scoped_forwarded(gateway_state& state) : state(&state) { ++this->state->forwarded_in_progress; }
    scoped_forwarded(const scoped_forwarded&) = delete;
    scoped_forwarded(scoped_forwarded&&) = delete;
    scoped_forwarded& operator=(const scoped_forwarded&) = delete;
    scoped_forwarded& operator=(scoped_forwarded&&) = delete;
    ~scoped_forwarded() { --this->state->forwarded_in_progress; }

private:
    gateway_state* state;
};

void serve_taken(gateway_request& request, wire::yield_context yield) {
    await_exit_checks(request, yield);
    if (const auto remaining = quarantine_time_left(request))
        return reject(request, unavailable_status, quarantine_reason, yield, remaining);
    if (const char* const reason = resolve_stream_origin(request, yield))
        return reject(request, unavailable_status, reason, yield, unknown_origin_retry_after);
    relay_request(request, yield);
}

} // namespace

void serve_forwarded(gateway_state& state, wire::caller_connection& connection,
                     const wire::http_request& message, wire::yield_context yield) {
    auto forwarded = decode_forwarded(message.body);
    if (!forwarded) {
        state.metrics->count("malformed_forwarded_total");
        (void)connection.send({bad_request_status, {}, ""}, yield);
        return;
    }
    if (!is_known_host(state, forwarded->from, connection)) {
        state.metrics->count("forwarded_from_unknown_hosts_total");
        (void)connection.send({forbidden_status, {}, ""}, yield);
        return;
    }
    host::record_peer_link(state.forwarding_peers, forwarded->service, forwarded->from,
                           host::peer_link::unreachable, state.clock->now());
    apply_suspects(state, forwarded->suspects, state.peers.by_name.at(forwarded->from).address);
    const decision::told_arrivals arrivals = {.account = forwarded->arrivals,
                                              .unused_retries = forwarded->paid_retries};
    if (const auto reason = reason_to_decline(state, *forwarded))
        return decline(state, connection, *reason, arrivals, yield);
    open_request open(state, connection);
    gateway_request& request = open.request();
    if (!prepare(request, std::move(*forwarded))) {
        open.decline();
        return decline(state, connection, forwarding_outcome::other_settings, arrivals, yield);
    }
    state.metrics->count("forwarded_taken_total");
    const scoped_forwarded in_progress(state);
    serve_to_end(
        request, [&] { serve_taken(request, yield); }, yield);
}

} // namespace postpaddle::gateway
