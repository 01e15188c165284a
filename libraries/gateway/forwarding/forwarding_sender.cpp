// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/forwarding/forwarding_sender.h>

#include <gateway/endings/request_drain.h>
#include <gateway/forwarding/upstream_reach.h>
#include <gateway/quarantine/request_quarantine.h>
#include <gateway/retry_payment.h>

#include <algorithm>
#include <utility>

namespace postpaddle::gateway {

namespace {

using decision::attempt_result;
using namespace std::chrono_literals;

/// Hosts asked to take a request. Each one that declines costs a round trip.
constexpr std::size_t max_hosts_asked = 6;
constexpr auto connect_timeout = 120ms;
/// Pause before hosts with other settings are asked again: settings take about that long to spread.
constexpr base::duration settings_pause = 50ms;
constexpr int max_settings_pauses = 10;
/// How much longer than the request's deadline an answer may take: the other host reports its end.
constexpr base::duration answer_margin = 100ms;
/// Limit on an answer that is not passed on: another host's refusal, of some hundred bytes.
constexpr std::size_t max_refusal_bytes = 16UL * 1024;
constexpr int timed_out_status = 504;

forwarded_request make_forwarded(const gateway_request& request,
                                 const std::optional<std::uint64_t>& resume_after) {
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    const gateway_state& state = *request.state;
    return {.from = state.process->name,
            .settings_version = request.settings->document.value->version,
            .service = request.service,
            .organisation = request.routed.organisation,
            .fingerprint = request.fingerprint,
            .time_left = std::max(0ms, duration_cast<milliseconds>(time_left(request))),
            .since_first_try = duration_cast<milliseconds>(state.clock->now() - request.first_try),
            .resume_after = resume_after,
            .max_attempts = decision::attempts_to_grant(request.record),
            .accepted_prompts = request.record.prompts,
            .arrivals = request.record.arrivals,
            .paid_retries = request.payment.payer == decision::retry_payer::nobody ? 0 : 1,
            .software_version = request.origin ? request.origin->software_version : "",
            .journal_revisions = request.journal.revisions,
            .suspects = encode_suspects(request),
            .message = request.routed.message};
}

host::forwarding_query make_query(const gateway_request& request, const std::set<base::host_id>& declined) {
    return {.service = request.service,
            .own_zone = request.state->process->availability_zone,
            .allowed_zones = placement_limits_of(request).allowed_zones,
            .excluded = declined,
            .now = request.state->clock->now()};
}

/// Watches the host until its answer begins. The host watches the upstream by itself.
stall_monitor watch_answer(gateway_request& request, const base::host_id& host) {
    const base::duration timeout = attempt_time(request);
    return {request,
            host_source(*request.state, host),
            {.limits = {.limit = timeout + answer_margin, .takeover_limit = base::duration::max()},
             .try_claim_next = [&request, host] {
                 return has_forwarding_target(request, {host}) && may_be_sent_again(request) &&
                        try_reserve_retries(request, 1);
             }}};
}

/// Sends the request and reads the head of the answer. The exchange's result is only set if there is none.
exchange_result send_to_host(gateway_request& request, const host::forwarding_target& target,
                             const forwarded_request& forwarded, wire::yield_context yield) {
    gateway_state& state = *request.state;
    exchange_result exchange;
    exchange.sent = state.clock->now();
    exchange.address = target.address;
    stall_monitor monitor = watch_answer(request, target.host);
    const bool is_watched = decision::may_retry_elsewhere(request.record);
    const base::time_point first_look =
        is_watched ? monitor.did_progress() : request.deadline + answer_margin;
    const auto on_connection = [&](const std::shared_ptr<wire::upstream_connection>& connection) {
        request.cancellation->connection = connection;
        exchange.connection = connection;
        set_monitor(*connection, is_watched ? &monitor : nullptr);
        if (request.cancellation->is_caller_gone)
            connection->cancel();
    };
    wire::http_request message{.method = "POST",
                               .target = forwarding_path,
                               .headers = {{"Host", target.address}, {"Content-Type", "application/msgpack"}},
                               .body = encode_forwarded(forwarded)};
    auto response = wire::open_exchange(*state.forwarding_pool, target.address, message,
                                        request.record.is_repeatable ? wire::connection_use::may_reuse
                                                                     : wire::connection_use::new_or_recent,
                                        {.deadline = first_look,
                                         .connect_timeout = connect_timeout,
                                         .on_stale = wire::stale_connection_policy::fail},
                                        on_connection, yield);
    if (response)
        exchange.head = std::move(response->head);
    else
        record_failure(exchange, response.error());
    if (exchange.connection)
        set_monitor(*exchange.connection, nullptr);
    return exchange;
}

void log_forwarding(gateway_request& request, const base::host_id& host, const exchange_result& exchange,
                    const char* result) {
    gateway_state& state = *request.state;
    request.sends.push_back({{"host", host.value},
                             {"purpose", "forward"},
                             {"result", result},
                             {"status", exchange.logged_status()},
                             {"took_ms", base::to_milliseconds(state.clock->now() - exchange.sent)}});
    if (!exchange.detail.empty())
        request.sends.back()["detail"] = exchange.detail;
    state.metrics->count(std::string("forwarded_total{result=\"") + result + "\"}");
}

/// Reads the rest of an answer that is not passed on, so that its connection can be used again.
void discard_answer(gateway_request& request, exchange_result& exchange, wire::yield_context yield) {
    (void)read_body(exchange, max_refusal_bytes, request.state->clock->now() + answer_margin, yield);
    request.cancellation->connection = nullptr;
    request.state->forwarding_pool->release(exchange.address, exchange.connection);
}

void record_link(gateway_request& request, const base::host_id& host, forwarding_outcome outcome) {
    gateway_state& state = *request.state;
    const base::time_point now = state.clock->now();
    if (outcome == forwarding_outcome::unreachable)
        host::record_peer_link(state.forwarding_peers, request.service, host, host::peer_link::unreachable,
                               now);
    else if (outcome == forwarding_outcome::unavailable)
        host::record_peer_failure(state.forwarding_peers, host, now);
    else if (outcome == forwarding_outcome::answered)
        host::record_peer_link(state.forwarding_peers, request.service, host, host::peer_link::reaches, now);
}

attempt_result result_of(forwarding_outcome outcome, int status) {
    switch (outcome) {
    case forwarding_outcome::answered:
        return attempt_result::answered;
    case forwarding_outcome::may_have_run:
        return status == timed_out_status ? attempt_result::late : attempt_result::broken;
    default:
        return attempt_result::not_run;
    }
}

/// Records an answer of the host, or that there is none although it was sent the request.
void record_taken(gateway_request& request, forwarded_exchange& forwarded, forwarding_outcome outcome) {
    exchange_result& exchange = forwarded.exchange;
    if (!exchange.head) {
        // Nothing is known of its attempts.
        forwarded.told_attempts = forwarded.granted_attempts;
        host::record_peer_failure(request.state->forwarding_peers, forwarded.host,
                                  request.state->clock->now());
    } else {
        exchange.result = result_of(outcome, exchange.head->status);
        exchange.facts = request.state->protocol.read_answer(*exchange.head);
        record_link(request, forwarded.host, outcome);
    }
    decision::record_forwarded(request.record, forwarded.told_attempts);
}

/// The hosts asked to take one request.
struct search {
    std::set<base::host_id> declined;
    std::set<base::host_id> with_other_settings;
    int settings_pauses = 0;
};

/// Waits until hosts with other settings may be asked again; returns whether there are any.
bool await_other_settings(const gateway_request& request, search& asked, wire::yield_context yield) {
    if (asked.with_other_settings.empty() || asked.settings_pauses == max_settings_pauses)
        return false;
    ++asked.settings_pauses;
    pause_request(request, settings_pause, yield);
    for (const base::host_id& host : asked.with_other_settings)
        asked.declined.erase(host);
    asked.with_other_settings.clear();
    return true;
}

/// Asks one host. Returns nothing if it did not take the request.
std::optional<forwarded_exchange> ask_host(gateway_request& request, const host::forwarding_target& target,
                                           const forwarded_request& message, search& asked,
                                           wire::yield_context yield) {
    gateway_state& state = *request.state;
    asked.declined.insert(target.host);
    forwarded_exchange forwarded = {.exchange = send_to_host(request, target, message, yield),
                                    .host = target.host,
                                    .granted_attempts = message.max_attempts};
    exchange_result& exchange = forwarded.exchange;
    if (!exchange.head && exchange.result == attempt_result::not_connected) {
        host::record_peer_failure(state.forwarding_peers, target.host, state.clock->now());
        log_forwarding(request, target.host, exchange, to_text(exchange.result));
        return std::nullopt;
    }
    forwarding_label label{.outcome = forwarding_outcome::may_have_run};
    if (exchange.head)
        label = take_forwarding_label(*exchange.head);
    forwarded.told_attempts = label.attempts;
    exchange.software_version = label.software_version;
    apply_suspects(state, label.suspects, target.address);
    take_over_arrivals(request, label.arrivals);
    if (!may_go_elsewhere(label.outcome)) {
        record_taken(request, forwarded, label.outcome);
        return forwarded;
    }
    record_link(request, target.host, label.outcome);
    if (label.outcome == forwarding_outcome::other_settings)
        asked.with_other_settings.insert(target.host);
    discard_answer(request, exchange, yield);
    log_forwarding(request, target.host, exchange, to_text(label.outcome));
    return std::nullopt;
}

} // namespace

bool should_forward(const gateway_request& request) {
    const gateway_state& state = *request.state;
    return !request.forwarded_by && !request.is_forwarding_exhausted &&
           state.process->policy.forward_unreachable && is_service_unreachable(state, request.service);
}

bool has_forwarding_target(const gateway_request& request, const std::set<base::host_id>& excluded) {
    gateway_state& state = *request.state;
    return host::choose_forwarding_target(state.peers, state.forwarding_peers, make_query(request, excluded),
                                          state.random)
        .has_value();
}

std::optional<forwarded_exchange> forward_request(gateway_request& request,
                                                  const std::optional<std::uint64_t>& resume_after,
                                                  wire::yield_context yield) {
    gateway_state& state = *request.state;
    search asked;
    while (!is_wait_over(request)) {
        // This host has counted the request, so its part of the retry budget pays for the first send of each
        // host that sends it.
        if (request.payment.payer == decision::retry_payer::nobody && !try_charge_send(request))
            break;
        const auto target =
            asked.declined.size() < max_hosts_asked
                ? host::choose_forwarding_target(state.peers, state.forwarding_peers,
                                                 make_query(request, asked.declined), state.random)
                : std::nullopt;
        if (!target && !await_other_settings(request, asked, yield))
            break;
        if (!target)
            continue;
        const forwarded_request message = make_forwarded(request, resume_after);
        if (auto forwarded = ask_host(request, *target, message, asked, yield)) {
            settle_send(request, false);
            return forwarded;
        }
    }
    settle_send(request, false);
    request.is_forwarding_exhausted = true;
    state.metrics->count("forwarding_exhausted_total");
    return std::nullopt;
}

void end_forwarding(gateway_request& request, forwarded_exchange& forwarded) {
    exchange_result& exchange = forwarded.exchange;
    request.cancellation->connection = nullptr;
    if (exchange.connection)
        request.state->forwarding_pool->release(exchange.address, exchange.connection);
    const bool is_without_end =
        exchange.result == attempt_result::broken || exchange.result == attempt_result::late;
    // Without this the request could be forwarded to the silent host again.
    if (exchange.stalls.is_given_up)
        host::record_peer_failure(request.state->forwarding_peers, forwarded.host,
                                  request.state->clock->now());
    if (is_without_end) {
        decision::record_forwarded(request.record,
                                   std::max(0, forwarded.granted_attempts - forwarded.told_attempts));
        decision::assume_arrived(request.record.arrivals);
    }
    log_forwarding(request, forwarded.host, exchange, decision::to_text(exchange.result));
}

} // namespace postpaddle::gateway
