// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/upstreams/upstream_exchange.h>

#include <gateway/forwarding/upstream_reach.h>
#include <gateway/retry_payment.h>
#include <gateway/store_sync/registry_lease.h>
#include <gateway/upstreams/upstream_advertisements.h>
#include <wire/bounded_response.h>

#include <algorithm>

namespace postpaddle::gateway {

namespace {

using decision::attempt_result;
using namespace std::chrono_literals;

/// Connection timeout. Nothing has been sent yet, so another upstream can be tried.
constexpr auto connect_timeout = 120ms;
/// Number of answers to other requests skipped before the connection is closed.
constexpr int max_foreign_answers = 2;
/// Limit on the body of such an answer. Beyond it, a new connection costs less than the transfer.
constexpr std::size_t max_foreign_body_bytes = 1024UL * 1024;
constexpr int first_server_error = 500;

attempt_result result_of(const wire::wire_error& error) {
    if (wire::is_before_send(error.failure))
        return attempt_result::not_connected;
    return error.failure == wire::wire_failure::late ? attempt_result::late : attempt_result::broken;
}

attempt_result result_of(const wire::response_head& head, const ports::answer_facts& facts) {
    if (facts.is_not_executed)
        return attempt_result::not_run;
    return head.status >= first_server_error ? attempt_result::server_error : attempt_result::answered;
}

decision::attempt_outcome outcome_of(attempt_result result) {
    switch (result) {
    case attempt_result::answered:
        return decision::attempt_outcome::good;
    case attempt_result::not_run:
        return decision::attempt_outcome::busy;
    case attempt_result::server_error:
    case attempt_result::broken:
        return decision::attempt_outcome::failed;
    case attempt_result::not_connected:
    case attempt_result::late:
        return decision::attempt_outcome::unreachable;
    }
    return decision::attempt_outcome::failed;
}

/// Whether anything has been received from the instance since the request was sent.
bool has_been_heard_since_send(const gateway_state& state, const ports::upstream_attempt& send,
                               const exchange_result& exchange) {
    const auto found = state.instances.by_id.find(send.instance);
    return found != state.instances.by_id.end() && found->second.heard_at > exchange.sent;
}

decision::attempt_outcome outcome_of(const gateway_state& state, const exchange_result& exchange,
                                     const ports::upstream_attempt& send) {
    if (exchange.is_port_closed)
        return decision::attempt_outcome::exited;
    if (exchange.is_protocol_violation)
        return decision::attempt_outcome::failed;
    // A requested back-off applies to this host only and has its own end: neither a failure nor something to
    // report to other hosts.
    if (exchange.facts.backoff)
        return decision::attempt_outcome::busy;
    const bool is_prompt_refused =
        exchange.result == attempt_result::not_run && send.purpose == ports::attempt_purpose::prefill;
    if (is_prompt_refused && state.process->policy.avoid_closed_engines)
        return decision::attempt_outcome::closed;
    // An upstream that only leaves one request unanswered can be reached.
    if (exchange.result == attempt_result::late && has_been_heard_since_send(state, send, exchange))
        return decision::attempt_outcome::failed;
    return outcome_of(exchange.result);
}

bool is_foreign(const ports::answer_facts& facts, const ports::routed_request& routed) {
    return facts.request_id != routed.id;
}

/// Whether the request's own answer may follow a foreign one. One without an id is known to be another's only
/// if the connection has carried a call without an id; else it may be the request's, spoilt.
bool may_skip(const exchange_result& exchange) {
    return !exchange.facts.request_id.empty() || exchange.connection->carried().contains({});
}

/// Skips answers to other requests, up to the head of this request's answer.
wire::expected<void> skip_foreign_answers(gateway_request& request, exchange_result& exchange,
                                          base::time_point deadline, wire::yield_context yield) {
    for (int skipped = 0; is_foreign(exchange.facts, request.routed); ++skipped) {
        request.state->metrics->count("foreign_answers_total");
        if (skipped == max_foreign_answers || !may_skip(exchange))
            return tl::make_unexpected(
                wire::wire_error{wire::wire_failure::malformed, "answer to another request"});
        auto rest = wire::discard_bounded_body(*exchange.connection, max_foreign_body_bytes, deadline, yield);
        if (!rest)
            return tl::make_unexpected(std::move(rest).error());
        auto head = exchange.connection->read_next_head(deadline, yield);
        if (!head)
            return tl::make_unexpected(std::move(head).error());
        exchange.head = std::move(*head);
        exchange.facts = request.state->protocol.read_answer(*exchange.head);
    }
    return {};
}

/// Records for the log the state that the upstream advertised in its answer.
void log_advertised_state(gateway_request& request, const ports::answer_facts& facts) {
    nlohmann::json& send_entry = request.sends.back();
    gateway_metrics& metrics = *request.state->metrics;
    if (facts.limit) {
        send_entry["limit_per_s"] = *facts.limit;
        metrics.count("upstream_words_total{word=\"limit\"}");
    }
    if (facts.backoff) {
        send_entry["rest_ms"] = facts.backoff->count();
        metrics.count("upstream_words_total{word=\"rest\"}");
    }
    if (facts.is_leaving) {
        send_entry["is_leaving"] = true;
        metrics.count("upstream_words_total{word=\"leaving\"}");
    }
    if (facts.has_malformed_state) {
        send_entry["has_unreadable_word"] = true;
        metrics.count("upstream_words_total{word=\"unreadable\"}");
    }
}

/// Records on what knowledge of the registry the send to `target` relies.
void record_basis(gateway_state& state, const decision::instance& target, exchange_result& exchange) {
    exchange.registry_age = exchange.sent - state.registry_known_until;
    exchange.entry_offset = target.offset;
    exchange.listing = target.state;
    state.metrics->observe("registry_age_at_send_seconds", exchange.registry_age);
    state.metrics->set_max("max_registry_age_at_send_seconds", base::to_seconds(exchange.registry_age));
    if (exchange.registry_age > registry_bound(state))
        state.metrics->count("sends_on_old_registry_total");
}

/// Silences long enough to be of interest, for the log.
void log_stalls(nlohmann::json& send_entry, const stall_record& stalls) {
    static constexpr base::duration min_logged = 500ms;
    if (stalls.longest < min_logged)
        return;
    send_entry["longest_silence_ms"] = base::to_milliseconds(stalls.longest);
    if (stalls.is_given_up)
        send_entry["is_given_up"] = true;
    if (stalls.was_alive)
        send_entry["was_alive"] = true;
    if (stalls.was_shared)
        send_entry["was_shared"] = true;
}

/// What `record_basis` recorded, for the log.
void log_basis(nlohmann::json& send_entry, const exchange_result& exchange) {
    send_entry["registry_age_ms"] = base::to_milliseconds(exchange.registry_age);
    send_entry["entry_offset"] = exchange.entry_offset;
    if (exchange.listing != decision::listing::listed)
        send_entry["listing"] = decision::to_text(exchange.listing);
}

/// Records the result of a send.
void record_send(gateway_request& request, decision::attempt_kind kind, attempt_result result) {
    settle_send(request, decision::counts(request.record.arrivals, kind, result));
    decision::record_result(request.record, kind, result);
}

/// The instance that the request was sent to; null if it has gone or a later start has replaced it, to which
/// the answer of the earlier one does not apply.
decision::instance* find_answering(gateway_state& state, const ports::upstream_attempt& send,
                                   const exchange_result& exchange) {
    decision::instance* const target = decision::find_instance(state.instances, send.instance);
    return target != nullptr && target->entry.start_time_ms == exchange.start_time_ms ? target : nullptr;
}

/// Records that the instance gave no byte of an answer, for which this host's links may be to blame.
void record_link_failure(gateway_state& state, const base::upstream_id& id, const exchange_result& exchange) {
    decision::instance* const target = decision::find_instance(state.instances, id);
    if (target == nullptr || target->entry.start_time_ms != exchange.start_time_ms)
        return;
    decision::record_unreached(*target, state.clock->now());
    if (exchange.result == attempt_result::not_connected)
        did_fail_to_connect(state, id, exchange.sent);
    else
        did_get_no_answer(state, id);
}

/// An idle connection may turn out to be stale after the send. Only requests that may run twice use one.
wire::connection_use use_for(const gateway_request& request, const ports::upstream_attempt& send) {
    const bool may_send_twice =
        request.record.is_repeatable || send.purpose == ports::attempt_purpose::prefill;
    return may_send_twice ? wire::connection_use::may_reuse : wire::connection_use::new_or_recent;
}

} // namespace

void record_failure(exchange_result& exchange, const wire::wire_error& error) {
    exchange.result = result_of(error);
    exchange.is_port_closed = error.failure == wire::wire_failure::not_listening;
    exchange.is_protocol_violation = wire::is_protocol_violation(error.failure);
    exchange.detail = std::string(wire::to_text(error.failure)) + ": " + error.detail;
    if (exchange.connection)
        exchange.connection->cancel();
}

scoped_instance_use::scoped_instance_use(gateway_state& state, base::upstream_id instance,
                                         const decision::instance_use& use)
    : state(&state), instance(std::move(instance)), use(use) {
    if (decision::instance* const target = decision::find_instance(state.instances, this->instance)) {
        this->start_time_ms = target->entry.start_time_ms;
        target->own += this->use;
    }
    this->announce_change();
}

decision::instance* scoped_instance_use::find_target() const {
    decision::instance* const target = decision::find_instance(this->state->instances, this->instance);
    return target != nullptr && target->entry.start_time_ms == this->start_time_ms ? target : nullptr;
}

scoped_instance_use::~scoped_instance_use() {
    if (decision::instance* const target = this->find_target())
        target->own -= this->use;
    this->announce_change();
    if (this->use.memory_tokens > 0)
        this->state->did_change_slots();
}

void scoped_instance_use::did_read_prompt() {
    if (this->use.prompt_tokens == 0)
        return;
    const decision::instance_use read = {.prompt_tokens = this->use.prompt_tokens};
    if (decision::instance* const target = this->find_target())
        target->own -= read;
    this->use -= read;
    this->announce_change();
}

void scoped_instance_use::grow_memory(double memory_tokens) {
    const decision::instance_use growth = {.memory_tokens = memory_tokens - this->use.memory_tokens};
    if (growth.memory_tokens <= 0)
        return;
    this->use += growth;
    if (decision::instance* const target = this->find_target())
        target->own += growth;
}

void scoped_instance_use::announce_change() const {
    // Plain upstreams report their load in each answer; only load on engines is announced to other hosts.
    if (this->use.memory_tokens > 0 || this->use.prompt_tokens > 0)
        this->state->did_change_load();
}

namespace {

/// Whether the upstream, or what is known of it, has changed since it was chosen so that it must not be sent
/// the request.
bool is_withdrawn(const gateway_state& state, const ports::upstream_attempt& send,
                  const exchange_result& exchange) {
    const auto found = state.instances.by_id.find(send.instance);
    return found == state.instances.by_id.end() ||
           found->second.entry.start_time_ms != exchange.start_time_ms ||
           decision::is_withdrawn(state.instances, found->second) || !may_use_registry(state);
}

} // namespace

exchange_result send_to_instance(gateway_request& request, const ports::upstream_attempt& send,
                                 answer_wait wait, wire::yield_context yield) {
    gateway_state& state = *request.state;
    exchange_result exchange;
    if (!await_registry_lease(request, time_left(request), yield)) {
        exchange.sent = state.clock->now();
        exchange.is_withheld = true;
        exchange.detail = old_registry_reason;
        return exchange;
    }
    exchange.sent = state.clock->now();
    decision::instance* const target = decision::find_instance(state.instances, send.instance);
    if (target == nullptr)
        return exchange;
    // Check again: since the choice another engine may have processed the prompt, or the request may have
    // waited.
    const decision::placement_limits limits = placement_limits_of(request);
    const auto verdict = decision::check_placement(state.instances, limits, *target, exchange.sent);
    if (verdict != decision::placement_verdict::allowed) {
        exchange.is_withheld = true;
        exchange.detail = decision::to_text(verdict);
        return exchange;
    }
    const bool is_run = send.purpose == ports::attempt_purpose::run;
    if (is_run && request.origin && request.origin->software_version != target->entry.software_version) {
        exchange.is_withheld = true;
        exchange.detail = "another software version than the stream's";
        return exchange;
    }
    exchange.start_time_ms = target->entry.start_time_ms;
    exchange.software_version = target->entry.software_version;
    const std::string service = target->entry.service;
    target->last_send = exchange.sent;
    record_basis(state, *target, exchange);
    exchange.address = target->entry.address;
    const auto on_connection = [&](const std::shared_ptr<wire::upstream_connection>& connection) {
        request.cancellation->connection = connection;
        exchange.connection = connection;
        set_monitor(*connection, wait.monitor);
        if (request.cancellation->is_caller_gone)
            connection->cancel();
    };
    // The wait for the registry may have taken longer than the time until the first look.
    if (wait.monitor != nullptr)
        wait.deadline = std::max(wait.deadline, exchange.sent + connect_timeout);
    const auto did_progress = [&wait] {
        if (wait.monitor != nullptr)
            (void)wait.monitor->did_progress();
    };
    auto response = wire::open_exchange(
        *state.pool, exchange.address, state.protocol.make_upstream_request(request.routed, send),
        use_for(request, send),
        {.deadline = wait.deadline,
         .connect_timeout = connect_timeout,
         .on_stale = wire::stale_connection_policy::fail,
         .on_connected = [&] { did_connect_to_upstream(state, service, exchange.sent); },
         .may_send =
             [&] {
                 did_progress();
                 return !is_withdrawn(state, send, exchange);
             },
         .request_id = request.routed.id},
        on_connection, yield);
    if (!response) {
        record_failure(exchange, response.error());
        // Neither the upstream nor the link to it is to blame.
        exchange.is_withheld = response.error().failure == wire::wire_failure::withheld ||
                               response.error().failure == wire::wire_failure::unsendable;
        if (!request.cancellation->is_own() && !exchange.is_withheld && !exchange.is_protocol_violation &&
            !has_been_heard_since_send(state, send, exchange))
            record_link_failure(state, send.instance, exchange);
        return exchange;
    }
    record_sign_of_life(state, send.instance);
    did_progress();
    exchange.head = std::move(response->head);
    exchange.facts = state.protocol.read_answer(*exchange.head);
    if (const auto skipped = skip_foreign_answers(request, exchange, wait.deadline, yield); !skipped) {
        record_failure(exchange, skipped.error());
        // Nothing that a foreign answer says applies to this send.
        exchange.head.reset();
        exchange.facts = {};
        return exchange;
    }
    exchange.result = result_of(*exchange.head, exchange.facts);
    // Whether a prompt counts is known only after its whole answer.
    if (is_run)
        did_reach_upstream(request);
    // Apply now, as the rest of a stream may take long.
    if (decision::instance* const answering = find_answering(state, send, exchange))
        apply_advertised_state(state, *answering, exchange.facts, exchange.sent);
    return exchange;
}

void set_monitor(wire::upstream_connection& connection, stall_monitor* monitor) {
    if (monitor == nullptr)
        connection.set_deadline_extension(nullptr);
    else
        connection.set_deadline_extension([monitor] { return monitor->look(); });
}

std::string read_body(exchange_result& exchange, std::size_t max_bytes, base::time_point deadline,
                      wire::yield_context yield) {
    exchange.held = exchange.connection->begin_collecting();
    auto body = wire::read_held_body(*exchange.connection, exchange.held, max_bytes, deadline, yield);
    if (body)
        return std::move(*body);
    exchange.held.reset();
    const bool is_not_run = exchange.result == attempt_result::not_run;
    record_failure(exchange, body.error());
    if (is_not_run)
        exchange.result = attempt_result::not_run;
    return {};
}

void end_exchange(gateway_request& request, const ports::upstream_attempt& send, exchange_result& exchange) {
    gateway_state& state = *request.state;
    const base::time_point now = state.clock->now();
    request.cancellation->connection = nullptr;
    if (exchange.connection) {
        set_monitor(*exchange.connection, nullptr);
        state.pool->release(exchange.address, exchange.connection);
    }
    const bool is_prefill = send.purpose == ports::attempt_purpose::prefill;
    record_send(request, is_prefill ? decision::attempt_kind::prefill : decision::attempt_kind::run,
                exchange.result);
    request.sends.push_back({{"instance", send.instance.value},
                             {"purpose", is_prefill ? "read_prompt" : "run"},
                             {"result", decision::to_text(exchange.result)},
                             {"status", exchange.logged_status()},
                             {"took_ms", base::to_milliseconds(now - exchange.sent)}});
    if (exchange.entry_offset != 0 || exchange.start_time_ms != 0)
        log_basis(request.sends.back(), exchange);
    if (!exchange.software_version.empty())
        request.sends.back()["software_version"] = exchange.software_version;
    if (!exchange.detail.empty())
        request.sends.back()["detail"] = exchange.detail;
    log_stalls(request.sends.back(), exchange.stalls);
    if (exchange.result == attempt_result::not_run && exchange.facts.load)
        request.sends.back()["load"] = {exchange.facts.load->running, exchange.facts.load->waiting,
                                        exchange.facts.load->slots};
    log_advertised_state(request, exchange.facts);
    state.metrics->count(std::string("sends_total{result=\"") + decision::to_text(exchange.result) + "\"}");
    decision::instance* const target = find_answering(state, send, exchange);
    if (target == nullptr || request.cancellation->is_own() || exchange.is_withheld)
        return;
    if (exchange.facts.cold_remaining)
        decision::record_cold(*target, *exchange.facts.cold_remaining, now);
    if (exchange.facts.load)
        decision::record_load(*target, *exchange.facts.load, now);
    decision::record_outcome(*target, outcome_of(state, exchange, send), now);
    if (decision::is_ejected(*target, now))
        state.did_change_load();
    if (exchange.facts.is_other_instance)
        target->state = decision::listing::vanished;
}

} // namespace postpaddle::gateway
