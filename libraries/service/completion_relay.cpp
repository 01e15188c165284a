// SPDX-License-Identifier: BSD-2-Clause
#include <service/completion_relay.h>

#include <service/prompt_facts.h>
#include <service/quarantine_filter.h>

#include <host/owner.h>
#include <wire/http_client.h>

#include <base/try.h>

namespace postpaddle::service {

namespace {

using namespace std::chrono_literals;
using base::boot_clock;

constexpr int ok_status = 200;
/// Statuses (RFC 9110, RFC 6585) with which an engine rejects a request before running it: busy or draining,
/// or the KV cache to decode from is gone.
constexpr int unavailable_status = 503;
constexpr int too_many_status = 429;
constexpr int gone_status = 410;
/// Maximum time between two reads of a decode stream after its first token.
constexpr auto inter_token_timeout = 5'000ms;
constexpr std::size_t max_event_bytes = 256UL * 1024;

decision::failure failure_of(const wire::wire_error& error) {
    switch (error.failure) {
    case wire::wire_failure::bad_address:
    case wire::wire_failure::not_connected:
    case wire::wire_failure::not_listening:
    case wire::wire_failure::withheld:
    case wire::wire_failure::unsendable:
    case wire::wire_failure::refused:
        return decision::failure::refused;
    case wire::wire_failure::late:
        return decision::failure::late;
    case wire::wire_failure::malformed:
    case wire::wire_failure::too_large:
    case wire::wire_failure::head_too_large:
        return decision::failure::malformed;
    case wire::wire_failure::no_room:
    case wire::wire_failure::closed:
    case wire::wire_failure::cancelled:
    case wire::wire_failure::broken:
        return decision::failure::broken;
    }
    return decision::failure::broken;
}

run_certainty certainty_of(const wire::wire_error& error) {
    switch (error.failure) {
    case wire::wire_failure::bad_address:
    case wire::wire_failure::not_connected:
    case wire::wire_failure::not_listening:
    case wire::wire_failure::withheld:
    case wire::wire_failure::unsendable:
        return run_certainty::nothing_sent;
    case wire::wire_failure::refused:
        return run_certainty::refused_upstream;
    case wire::wire_failure::malformed:
    case wire::wire_failure::too_large:
    case wire::wire_failure::head_too_large:
        return run_certainty::has_run;
    default:
        return run_certainty::may_have_run;
    }
}

/// Maps an engine's HTTP error status to a wire error.
wire::wire_error status_error(int status) {
    const std::string text = std::to_string(status);
    if (status == unavailable_status || status == too_many_status)
        return {wire::wire_failure::refused, text};
    if (status == gone_status)
        return {wire::wire_failure::refused, "kv_gone"};
    return {wire::wire_failure::malformed, text};
}

} // namespace

filter_result completion_relay::run(wire::yield_context yield) {
    while (true) {
        const auto effect = this->context->mailbox->wait(yield);
        if (!effect)
            return this->handle_disconnect(yield);
        const bool is_end = std::holds_alternative<decision::end_request>(*effect);
        if (auto held = is_end ? std::nullopt : quarantine_problem(*this->context))
            return this->end_with_problem(std::move(*held), yield);
        if (const auto* const prefill = std::get_if<decision::start_prefill>(&*effect))
            this->run_prefill(*prefill, yield);
        else if (const auto* const end = std::get_if<decision::end_request>(&*effect)) {
            this->context->lifecycle.handle_event(lifecycle_event::abandoned);
            this->record_timings();
            return tl::make_unexpected(this->problem_of(*end));
        } else if (const auto* const decode = std::get_if<decision::start_decode>(&*effect)) {
            if (this->run_decode(*decode, yield))
                return {};
        }
    }
}

filter_result completion_relay::handle_disconnect(wire::yield_context yield) {
    this->context->lifecycle.handle_event(lifecycle_event::caller_gone);
    this->record_timings();
    report(*this->context, decision::caller_disconnected{this->context->id}, yield);
    return tl::make_unexpected(problem_details{
        499, "caller-gone", "The caller has gone", "", this->context->lifecycle.outcome(), {}, {}});
}

filter_result completion_relay::end_with_problem(problem_details problem, wire::yield_context yield) {
    this->context->lifecycle.handle_event(lifecycle_event::abandoned);
    this->record_timings();
    // Reported as a disconnect: the decision thread frees the request's slots and sends no further effects.
    report(*this->context, decision::caller_disconnected{this->context->id}, yield);
    return tl::make_unexpected(std::move(problem));
}

wire::engine_attempt completion_relay::attempt_of(int attempt, int priority) const {
    const auto& deployments = this->context->settings->tree->deployments;
    return {this->context->api, host::make_attempt_id(this->context->id, attempt),
            deployments.at(this->context->facts.deployment).model.value,
            cache_salt_of(this->context->policy->id), priority};
}

const std::string* completion_relay::address_of(const base::upstream_id& upstream) const {
    // The engine may have been added by settings newer than those the request arrived under.
    const settings_pointer active_settings = this->context->services->settings->current();
    const auto found = active_settings->tree->upstreams.find(upstream);
    return found == active_settings->tree->upstreams.end() ? nullptr : &found->second.address;
}

void completion_relay::handle_failure(int attempt, const wire::wire_error& error, engine_liveness liveness,
                                      wire::yield_context yield) {
    if (this->active_connection)
        this->active_connection->cancel();
    this->context->mailbox->set_connection(nullptr);
    if (this->context->mailbox->is_caller_gone())
        return;
    process_counters& counters = this->context->services->process_metrics->counters;
    if (error.failure == wire::wire_failure::malformed || error.failure == wire::wire_failure::too_large)
        ++counters.malformed_answers;
    if (error.failure == wire::wire_failure::late)
        ++counters.late_answers;
    this->context->lifecycle.record_certainty(certainty_of(error));
    this->context->lifecycle.handle_event(lifecycle_event::engine_failed);
    const bool is_kv_gone = error.detail == "kv_gone";
    report(*this->context,
           decision::phase_failed{
               this->context->id, attempt, is_kv_gone ? decision::failure::lost_kv : failure_of(error),
               this->caller_response.position().tokens, liveness == engine_liveness::exited},
           yield);
}

engine_liveness completion_relay::check_engine(const base::upstream_id& engine, const wire::wire_error& error,
                                               wire::yield_context yield) {
    if (error.failure == wire::wire_failure::not_listening)
        return engine_liveness::exited;
    const std::string* const address = this->address_of(engine);
    const bool has_exited =
        address != nullptr && detect_upstream_exit(*this->context, engine, *address, error, yield);
    return has_exited ? engine_liveness::exited : engine_liveness::unknown;
}

void completion_relay::run_prefill(const decision::start_prefill& effect, wire::yield_context yield) {
    this->context->lifecycle.handle_event(lifecycle_event::prefill_sent);
    auto result = this->exchange_prefill(effect, yield);
    if (!result) {
        this->handle_failure(effect.attempt, result.error(),
                             this->check_engine(effect.prefill, result.error(), yield), yield);
        return;
    }
    this->kv_transfer_params = std::move(result->kv_transfer_params);
    this->context->facts.prompt_tokens = result->prompt_tokens;
    this->context->lifecycle.record_certainty(run_certainty::has_run);
    this->context->lifecycle.handle_event(lifecycle_event::prefill_done);
    report(*this->context,
           decision::prefill_ended{this->context->id, effect.attempt, result->prompt_tokens,
                                   result->cached_tokens},
           yield);
}

wire::expected<wire::prefill_response>
completion_relay::exchange_prefill(const decision::start_prefill& effect, wire::yield_context yield) {
    const std::string* const address = this->address_of(effect.prefill);
    if (address == nullptr)
        return tl::make_unexpected(
            wire::wire_error{wire::wire_failure::not_connected, "upstream is not in the settings"});
    const wire::engine_attempt attempt = this->attempt_of(effect.attempt, effect.engine_priority);
    const auto deadline = boot_clock::now() + effect.limit;
    const auto request =
        wire::make_prefill_request(this->context->body, attempt, this->caller_response.position());
    const auto use = this->context->runs == decision::execution_rule::repeatable
                         ? wire::connection_use::may_reuse
                         : wire::connection_use::only_new;
    const auto on_connection = [this](const std::shared_ptr<wire::upstream_connection>& next) {
        this->active_connection = next;
        this->context->mailbox->set_connection(next);
    };
    POSTPADDLE_TRY(exchange, wire::open_exchange(*this->context->services->pool, *address, request, use,
                                                 {.deadline = deadline}, on_connection, yield));
    if (exchange.head.status != ok_status)
        return tl::make_unexpected(status_error(exchange.head.status));
    POSTPADDLE_TRY(body, exchange.call->read_remaining_body(deadline, yield));
    POSTPADDLE_TRY(parsed, wire::parse_prefill_response(body, attempt));
    this->context->mailbox->set_connection(nullptr);
    this->context->services->pool->release(*address, exchange.call);
    return parsed;
}

bool completion_relay::run_decode(const decision::start_decode& effect, wire::yield_context yield) {
    this->context->lifecycle.handle_event(lifecycle_event::decode_sent);
    this->caller_response.set_engines(effect.prefill.value, effect.decode.value);
    const std::string* const address = this->address_of(effect.decode);
    if (address == nullptr) {
        this->handle_failure(effect.attempt,
                             {wire::wire_failure::not_connected, "upstream is not in the settings"},
                             engine_liveness::unknown, yield);
        return false;
    }
    const wire::engine_attempt attempt = this->attempt_of(effect.attempt, effect.engine_priority);
    const auto request = wire::make_decode_request(this->context->body, attempt, this->kv_transfer_params,
                                                   this->caller_response.position());
    const auto on_connection = [this](const std::shared_ptr<wire::upstream_connection>& next) {
        this->active_connection = next;
        this->context->mailbox->set_connection(next);
    };
    const auto use = this->context->runs == decision::execution_rule::repeatable
                         ? wire::connection_use::may_reuse
                         : wire::connection_use::only_new;
    auto exchange = wire::open_exchange(*this->context->services->pool, *address, request, use,
                                        {.deadline = boot_clock::now() + effect.limit}, on_connection, yield);
    if (!exchange) {
        this->handle_failure(effect.attempt, exchange.error(),
                             this->check_engine(effect.decode, exchange.error(), yield), yield);
        return false;
    }
    if (exchange->head.status != ok_status) {
        this->handle_failure(effect.attempt, status_error(exchange->head.status), engine_liveness::unknown,
                             yield);
        return false;
    }
    const int tokens_before = this->caller_response.position().tokens;
    const auto relayed = this->relay_stream(effect, *exchange->call, yield);
    if (!relayed) {
        // A run that has produced tokens did not crash the engine at its start, so the engine isn't checked.
        const bool has_begun = this->caller_response.position().tokens > tokens_before;
        const engine_liveness liveness =
            has_begun ? engine_liveness::unknown : this->check_engine(effect.decode, relayed.error(), yield);
        this->handle_failure(effect.attempt, relayed.error(), liveness, yield);
        return false;
    }
    this->context->mailbox->set_connection(nullptr);
    this->context->services->pool->release(*address, exchange->call);
    this->record_timings();
    report(*this->context,
           decision::decode_ended{this->context->id, effect.attempt, this->caller_response.position().tokens},
           yield);
    if (!this->caller_response.finish(yield))
        return true; // The engine has completed the run; the caller disconnected before the end.
    this->context->services->quarantine->record_completion(this->context->fingerprint,
                                                           this->context->services->clock->now());
    this->context->lifecycle.handle_event(lifecycle_event::finished);
    return true;
}

wire::expected<void> completion_relay::relay_stream(const decision::start_decode& effect,
                                                    wire::upstream_connection& connection,
                                                    wire::yield_context yield) {
    const wire::engine_attempt attempt = this->attempt_of(effect.attempt, effect.engine_priority);
    const bool is_resumed = this->caller_response.position().tokens > 0;
    auto deadline = boot_clock::now() + effect.limit;
    wire::event_parser stream(max_event_bytes);
    bool has_token = false;
    while (true) {
        POSTPADDLE_TRY(has_more, connection.read_part(stream.input(), deadline, yield));
        if (!has_more)
            break;
        const int before = this->caller_response.position().tokens;
        POSTPADDLE_TRY_VOID(this->process_events(effect, attempt, stream, yield));
        if (!has_token && this->caller_response.position().tokens > before) {
            has_token = true;
            this->record_first_token(effect, yield);
        }
        if (!this->caller_response.flush()) {
            if (!this->context->mailbox->is_caller_gone()) {
                ++this->context->services->process_metrics->counters.slow_readers;
                this->context->mailbox->did_lose_caller();
            }
            return tl::make_unexpected(
                wire::wire_error{wire::wire_failure::cancelled, "the caller has gone"});
        }
        if (has_token)
            deadline = boot_clock::now() + inter_token_timeout;
    }
    if (!this->caller_response.is_finished() || stream.has_partial_event())
        return tl::make_unexpected(wire::wire_error{wire::wire_failure::broken,
                                                    "decode stream ended before the response was complete"});
    // A stream that carries only the finish event has no token; report its first token at the end.
    if (!has_token && (is_resumed || this->caller_response.position().tokens == 0))
        this->record_first_token(effect, yield);
    return {};
}

wire::expected<void> completion_relay::process_events(const decision::start_decode& effect,
                                                      const wire::engine_attempt& attempt,
                                                      wire::event_parser& stream,
                                                      wire::yield_context /*yield*/) {
    while (const auto data = stream.next()) {
        POSTPADDLE_TRY(event, wire::parse_decode_event(*data, attempt));
        if (this->caller_response.position().tokens > this->context->facts.max_tokens)
            return tl::make_unexpected(
                wire::wire_error{wire::wire_failure::too_large, "engine sent more tokens than max_tokens"});
        this->caller_response.add_event(event, *data, attempt.attempt_id);
        if (event.type == wire::decode_event::kind::token)
            this->last_token = this->context->services->clock->now();
    }
    if (stream.is_too_large())
        return tl::make_unexpected(
            wire::wire_error{wire::wire_failure::too_large,
                             "event exceeds the size limit, from engine " + effect.decode.value});
    return {};
}

void completion_relay::record_first_token(const decision::start_decode& effect, wire::yield_context yield) {
    if (!this->first_token)
        this->first_token = this->context->services->clock->now();
    this->context->lifecycle.handle_event(lifecycle_event::first_token);
    report(*this->context, decision::first_token_seen{this->context->id, effect.attempt}, yield);
}

void completion_relay::record_timings() {
    request_observation& observation = this->context->observation;
    observation.tokens = this->caller_response.position().tokens;
    if (!this->first_token)
        return;
    observation.has_first_token = true;
    observation.first_token = *this->first_token - this->context->arrived;
    if (observation.tokens > 1)
        observation.per_token = (this->last_token - *this->first_token) / (observation.tokens - 1);
}

problem_details completion_relay::problem_of(const decision::end_request& effect) const {
    const run_outcome outcome = this->context->lifecycle.outcome();
    switch (effect.reason) {
    case decision::refusal::no_deployment:
        return {503, "no-engines", "The model has no engines", "", outcome, std::chrono::seconds(5), {}};
    case decision::refusal::no_engine:
        return {503, "no-engines", "No engine of the model can be used now", "", outcome, effect.retry_after,
                {}};
    case decision::refusal::cannot_meet_target:
        return {503,
                "target-unreachable",
                "The first token would come too late",
                "Every engine has too much ahead of this request.",
                outcome,
                effect.retry_after,
                {}};
    case decision::refusal::queue_full:
        return {503, "queue-full", "Too many requests wait", "", outcome, effect.retry_after, {}};
    case decision::refusal::upstream_failed:
        break;
    }
    const bool is_unknown = outcome == run_outcome::unknown;
    return {is_unknown ? 504 : 503,
            "upstream-failed",
            "An engine failed while it ran the request",
            "",
            outcome,
            effect.retry_after,
            {}};
}

} // namespace postpaddle::service
