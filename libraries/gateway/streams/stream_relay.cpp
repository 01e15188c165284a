// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/streams/stream_relay.h>

#include <base/try.h>
#include <decision/event_progress.h>
#include <decision/stream_rules.h>
#include <gateway/caller_identity.h>
#include <gateway/endings/request_drain.h>
#include <gateway/forwarding/forwarding_sender.h>
#include <gateway/quarantine/request_quarantine.h>
#include <gateway/retry_payment.h>
#include <gateway/stream_origin/request_origin.h>
#include <gateway/streams/prefill_send.h>
#include <gateway/streams/prefix_cache_lookup.h>

#include <algorithm>

namespace postpaddle::gateway {

namespace {

using decision::attempt_result;
using namespace std::chrono_literals;

constexpr int ok_status = 200;
/// Events after which a run has survived its start.
constexpr int events_of_surviving_run = 2;
/// Room for an event of a hundred tokens, each with half a kilobyte of text and encoding.
constexpr std::size_t max_event_bytes = 64UL * 1024;
/// Limit on an answer that is not a stream, but says why there is none.
constexpr std::size_t max_failure_body_bytes = 256UL * 1024;

} // namespace

std::optional<decision::engine_plan> stream_relay::next_plan(wire::yield_context yield) {
    if (this->retained.has_value()) {
        auto plan = this->retained.await_decode_engine(this->progress.size, yield);
        if (plan || this->retained.has_value())
            return plan;
        // The prompt is lost. Others may use the retries while this request waits.
        release_reserved_retries(*this->request);
    }
    // A prompt and its run are two sends that may fail.
    if (!may_send_prompt(this->progress) || should_save_retries(*this->request))
        return await_colocated_engine(*this->request, this->progress.size, this->colocated_wait(), yield);
    engine_slot_result result = await_engine_slot(*this->request, this->progress.size, yield);
    if (!result.plan)
        this->reason = result.reason;
    return result.plan;
}

room_wait stream_relay::colocated_wait() const {
    // A refusal by an engine without room would cost a retry.
    const bool is_refusal_dear =
        this->avoids_wasted_prefills || decision::is_retry(this->request->record.arrivals);
    return is_refusal_dear ? room_wait::until_idle_timeout : room_wait::none;
}

decision::instance_use stream_relay::use_at(const decision::engine_plan& plan) const {
    const bool reads_prompt_there =
        !plan.prefill && !this->retained.has_value() && !this->request->holding.contains(plan.decode);
    return {.requests = 1,
            .memory_tokens = memory_of(*this->request, this->progress),
            .prompt_tokens = reads_prompt_there ? this->progress.size.prompt_tokens : 0};
}

void stream_relay::reserve(const decision::engine_plan& plan) {
    this->progress.decode_engine = plan.decode;
    this->reservation.emplace(*this->request->state, plan.decode, this->use_at(plan));
}

std::optional<request_ending> stream_relay::decode(const decision::engine_plan& plan,
                                                   wire::yield_context yield) {
    const ports::upstream_attempt send = {
        .instance = plan.decode,
        .time_left = std::chrono::duration_cast<std::chrono::milliseconds>(time_left(*this->request)),
        .source = this->retained.value(),
        .resume_after = this->events.last_id};
    this->is_resumed = this->progress.has_started;
    this->transfer_started.reset();
    if (send.source)
        this->transfer_started = this->request->state->clock->now();
    this->events_of_run = 0;
    this->run_sent = this->request->state->clock->now();
    this->watch.watch_engine(plan);
    exchange_result exchange = send_to_instance(*this->request, send, this->watch.begin_wait(), yield);
    return this->handle_answer(exchange, send, yield);
}

std::optional<request_ending> stream_relay::handle_answer(exchange_result& exchange,
                                                          const ports::upstream_attempt& send,
                                                          wire::yield_context yield) {
    const int events_before = this->progress.events_forwarded;
    received_answer answer = this->receive_answer(exchange, yield);
    this->watch.end(exchange);
    this->update_retained(send.instance, exchange);
    end_exchange(*this->request, send, exchange);
    // Events were received, so the upstream did not crash when it started on the request.
    if (this->progress.events_forwarded == events_before)
        detect_upstream_exit(*this->request, send, exchange, yield);
    if (exchange.result == attempt_result::not_run)
        record_stream_refusal(*this->request, send.instance, exchange.facts, this->progress.size,
                              memory_of(*this->request, this->progress));
    this->last_result = exchange.result;
    this->did_violate_protocol = exchange.is_protocol_violation;
    // No further send follows. Release now, as a slow caller may take long to read the answer.
    if (exchange.result == attempt_result::answered)
        this->did_end();
    this->reason = decision::to_text(exchange.result);
    return this->ending_after(exchange, std::move(answer), yield);
}

stream_relay::received_answer stream_relay::receive_answer(exchange_result& exchange,
                                                           wire::yield_context yield) {
    received_answer answer;
    const bool is_stream = exchange.result == attempt_result::answered && exchange.head->status == ok_status;
    if (is_stream && exchange.facts.is_sealed)
        answer.stream = this->relay_events(exchange, yield);
    else if (is_stream)
        exchange.detail = "answer without a valid seal";
    else if (exchange.head && exchange.result != attempt_result::broken)
        answer.body = read_body(exchange, max_failure_body_bytes, this->watch.look_at(), yield);
    if (is_stream && answer.stream == stream_end::broken && exchange.result == attempt_result::answered)
        exchange.result = attempt_result::broken;
    return answer;
}

void stream_relay::update_retained(const base::upstream_id& engine, const exchange_result& exchange) {
    if (exchange.result == attempt_result::not_run && this->retained.has_value())
        this->retained.did_refuse(engine, exchange.facts, this->progress.size);
    else if (exchange.result != attempt_result::not_connected)
        this->retained.forget();
}

std::optional<request_ending> stream_relay::ending_after(const exchange_result& exchange,
                                                         received_answer answer, wire::yield_context yield) {
    // Must precede the check for a disconnect: a client may close its connection once it has the complete
    // stream.
    if (answer.stream == stream_end::complete) {
        record_success(*this->request);
        if (!this->progress.decode_engine.is_empty())
            record_complete_stream(*this->request, this->events_so_far());
        return request_ending::passed_on;
    }
    if (this->request->cancellation->is_caller_gone || answer.stream == stream_end::caller_gone)
        return request_ending::caller_gone;
    if (exchange.result == attempt_result::answered)
        return this->progress.has_started
                   ? this->end_with_failure(yield)
                   : forward_answer(*this->request, *exchange.head, std::move(answer.body), yield);
    if (exchange.result == attempt_result::server_error) {
        this->failure = exchange;
        this->failure_body = std::move(answer.body);
    }
    return std::nullopt;
}

stream_relay::stream_end stream_relay::relay_events(exchange_result& exchange, wire::yield_context yield) {
    wire::event_splitter splitter(max_event_bytes);
    const wire::collected_body held = exchange.connection->begin_collecting();
    if (this->request->origin && this->request->origin->software_version != this->version_of(exchange)) {
        exchange.detail = "another software version than the stream's";
        exchange.connection->cancel();
        return stream_end::broken;
    }
    if (!this->progress.has_started)
        this->first_head = *exchange.head;
    this->held_events.clear();
    this->events.idle_bytes = 0;
    while (true) {
        auto has_more = exchange.connection->read_part(splitter.input(), this->watch.look_at(), yield);
        if (this->request->cancellation->is_caller_gone)
            return stream_end::caller_gone;
        if (!has_more) {
            exchange.detail =
                std::string(wire::to_text(has_more.error().failure)) + " while reading the stream";
            exchange.connection->cancel();
            if (has_more.error().failure == wire::wire_failure::late)
                exchange.result = attempt_result::late;
            return stream_end::broken;
        }
        const auto last_id_before = this->events.last_id;
        if (!this->forward_events(exchange, splitter, yield))
            return stream_end::caller_gone;
        if (const auto room = exchange.connection->collect(held, splitter.input().capacity()); !room) {
            record_failure(exchange, room.error());
            return stream_end::broken;
        }
        if (splitter.is_too_large() || decision::is_without_end(this->events)) {
            record_failure(exchange, {wire::wire_failure::too_large, "event exceeds the size limit"});
            return stream_end::broken;
        }
        if (!*has_more)
            break;
        if (this->events.last_id != last_id_before)
            this->watch.did_progress();
        else
            this->watch.did_receive_unfinished();
    }
    this->watch.end(exchange);
    const bool is_whole = !splitter.has_partial_event();
    if (is_whole && !this->held_events.empty() && !this->pass_on({}, exchange, yield))
        return stream_end::caller_gone;
    if (!is_whole || !this->progress.has_started) {
        exchange.detail = "stream ended within an event or without any event";
        return stream_end::broken;
    }
    // No further send follows. Release now, as a slow caller may take long to read the rest.
    release_reserved_retries(*this->request);
    return this->request->connection->end_stream(yield) ? stream_end::complete : stream_end::caller_gone;
}

stream_events stream_relay::events_so_far() const {
    return {.count = this->progress.events_forwarded,
            .engine = this->progress.decode_engine,
            .is_resumed = this->is_resumed,
            .has_stalled = this->has_stalled};
}

void stream_relay::note_pause() {
    const base::time_point now = this->request->state->clock->now();
    const base::duration silence =
        decision::silence_before_probe(decision::idle_timeout(this->request->route->gap_target));
    this->has_stalled |= this->last_event_at && now - *this->last_event_at >= silence;
    this->last_event_at = now;
}

void stream_relay::did_receive_event() {
    this->note_pause();
    // Another host serves the request, and learns from it.
    if (!this->reservation) {
        ++this->progress.events_forwarded;
        return;
    }
    this->reservation->did_read_prompt();
    if (const auto sent = std::exchange(this->transfer_started, std::nullopt))
        decision::add_sample(profile_of(*this->request).speed.first_event,
                             base::to_seconds(this->request->state->clock->now() - *sent));
    ++this->progress.events_forwarded;
    if (++this->events_of_run == events_of_surviving_run)
        record_survival(*this->request, this->run_sent);
    if (this->progress.events_forwarded == measured_events)
        record_event_interval(*this->request, this->events_so_far());
    this->reservation->grow_memory(memory_of(*this->request, this->progress));
}

std::string stream_relay::version_of(const exchange_result& exchange) const {
    // Another host's word, if it was forwarded there.
    if (this->progress.decode_engine.is_empty())
        return exchange.software_version;
    const decision::instance* const engine =
        decision::find_instance(this->request->state->instances, this->progress.decode_engine);
    const bool is_same_start = engine != nullptr && engine->entry.start_time_ms == exchange.start_time_ms;
    return is_same_start ? exchange.software_version : "";
}

void stream_relay::begin_stream(const exchange_result& exchange, wire::yield_context yield) {
    record_stream_origin(*this->request, this->version_of(exchange), yield);
    wire::remove_connection_headers(this->first_head.headers);
    decision::attempt_record with_this_attempt = this->request->record;
    decision::record_result(with_this_attempt, decision::attempt_kind::run, attempt_result::answered);
    label_answer(*this->request, this->first_head.headers, forwarding_outcome::answered, with_this_attempt);
    // The host that forwarded the request has been told of those that are unused, and takes them back.
    this->request->payment.granted = 0;
    this->request->connection->begin_stream(this->first_head);
    this->progress.has_started = true;
    did_begin_response(*this->request);
    this->request->first_event = this->request->state->clock->now() - this->request->arrived;
    this->request->state->metrics->observe("first_event_seconds", *this->request->first_event);
}

bool stream_relay::forward_events(const exchange_result& exchange, wire::event_splitter& splitter,
                                  wire::yield_context yield) {
    while (const auto event = splitter.next()) {
        const auto step = decision::record_event(this->events, event->id, event->text.size());
        if (decision::is_without_end(this->events))
            return true;
        if (step == decision::event_step::hold)
            this->held_events += event->text;
        if (step != decision::event_step::pass_on)
            continue;
        this->did_receive_event();
        if (!this->pass_on(event->text, exchange, yield))
            return false;
    }
    return true;
}

bool stream_relay::pass_on(std::string_view event, const exchange_result& exchange,
                           wire::yield_context yield) {
    if (!this->progress.has_started)
        this->begin_stream(exchange, yield);
    if (this->held_events.empty())
        return this->request->connection->append(event);
    this->held_events += event;
    return this->request->connection->append(std::exchange(this->held_events, {}));
}

request_ending stream_relay::end_with_failure(wire::yield_context yield) {
    if (this->progress.has_started) {
        this->request->reason = this->reason;
        this->request->connection->abort();
        return request_ending::broken_off;
    }
    if (this->failure)
        return forward_answer(*this->request, *this->failure->head, std::move(this->failure_body), yield);
    return answer_locally(*this->request, this->last_result, this->reason, yield);
}

void stream_relay::exclude_failed_engine(const base::upstream_id& engine, wire::yield_context yield) {
    // The engine only refused: it may accept the request later, or with the prompt processed again.
    if (this->last_result == attempt_result::not_run || this->request->cancellation->is_own())
        return;
    const bool may_hold = this->last_result == attempt_result::broken && !this->did_violate_protocol &&
                          this->request->state->process->policy.rerun_where_retained;
    const bool is_first_loss = this->request->holding.insert(engine).second;
    if (may_hold && is_first_loss && does_engine_hold(*this->request, engine, yield))
        return;
    this->request->holding.erase(engine);
    this->request->tried.insert(engine);
}

bool stream_relay::skip_prefill(decision::engine_plan& plan, wire::yield_context yield) {
    this->reservation.reset();
    const auto colocated =
        await_colocated_engine(*this->request, this->progress.size, this->colocated_wait(), yield);
    if (!colocated)
        return false;
    plan = *colocated;
    this->reserve(plan);
    return true;
}

void stream_relay::recheck(decision::engine_plan& plan, const decode_reservation& before) {
    const auto engine = recheck_decode_engine(*this->request, before, this->progress.size);
    if (!engine)
        return;
    plan.decode = *engine;
    this->reserve(plan);
}

bool stream_relay::prepare_plan(decision::engine_plan& plan, wire::yield_context yield) {
    if (!plan.prefill || this->retained.has_value())
        return true;
    if (!try_reserve_prompt_and_run(*this->request)) {
        this->request->state->metrics->count("prefills_without_budget_total");
        return this->skip_prefill(plan, yield);
    }
    // Whether the prompt counts as a send is known only afterwards. Charge the budget first, so that
    // consecutive refusals can't exceed it.
    if (!try_charge_send(*this->request))
        return true;
    decode_reservation before;
    if (this->avoids_wasted_prefills)
        before = describe_reservation(*this->request->state, plan, this->use_at(plan));
    ++this->progress.prompts_sent;
    stall_monitor& monitor = this->watch.watch_prefill(plan);
    const bool is_prefilled =
        send_prefill(*this->request, *plan.prefill, this->progress.size, monitor, this->retained, yield);
    this->watch.end();
    if (!is_prefilled)
        return false;
    release_reserved_retries(*this->request, 1);
    if (this->avoids_wasted_prefills && !this->request->cancellation->is_caller_gone)
        this->recheck(plan, before);
    return this->is_usable(plan.decode);
}

bool stream_relay::is_usable(const base::upstream_id& engine) const {
    const decision::instance_table& instances = this->request->state->instances;
    const auto decode = instances.by_id.find(engine);
    return decode != instances.by_id.end() && decode->second.state == decision::listing::listed &&
           decision::check_placement(instances, placement_limits_of(*this->request), decode->second,
                                     this->request->state->clock->now()) ==
               decision::placement_verdict::allowed;
}

void stream_relay::did_end() {
    this->watch.claimed().reset();
    this->reservation.reset();
    this->retained.release();
    this->request->share_use.reset();
    release_reserved_retries(*this->request);
}

void stream_relay::find_held_prompt(wire::yield_context yield) {
    const settings::gateway_policy& policy = this->request->state->process->policy;
    if (policy.find_retained_prompts && this->request->first_try < this->request->arrived &&
        !should_forward(*this->request))
        this->request->holding = find_engines_holding(*this->request, yield);
}

bool stream_relay::is_caller_waiting() const {
    return time_left(*this->request) > 0ms && !this->request->cancellation->is_caller_gone;
}

tl::expected<void, stream_relay::failed_attempt> stream_relay::check_may_continue() {
    const char* stop = reason_to_stop(*this->request);
    if (stop == nullptr)
        stop = reason_without_version(*this->request);
    if (stop == nullptr)
        return {};
    this->reason = stop;
    return tl::make_unexpected(failed_attempt::give_up);
}

tl::expected<void, stream_relay::failed_attempt>
stream_relay::prepare_origin(const decision::engine_plan& plan, wire::yield_context yield) {
    const decision::instance* const engine =
        decision::find_instance(this->request->state->instances, plan.decode);
    const std::string version = engine == nullptr ? "" : engine->entry.software_version;
    if (prepare_stream_origin(*this->request, version, yield))
        return {};
    this->reason = "where the stream begins can't be recorded";
    const auto other = choose_versions(*this->request).only;
    const bool may_choose_again =
        other && *other != version && !this->request->journal.attempted && !this->retained.has_value();
    return tl::make_unexpected(may_choose_again ? failed_attempt::try_again : failed_attempt::give_up);
}

tl::expected<void, stream_relay::failed_attempt> stream_relay::give_up_without_budget() {
    this->reason = "no budget for another engine";
    return tl::make_unexpected(failed_attempt::give_up);
}

tl::expected<void, stream_relay::failed_attempt> stream_relay::charge_send() {
    if (try_charge_send(*this->request))
        return {};
    return this->give_up_without_budget();
}

tl::expected<void, stream_relay::failed_attempt> stream_relay::check_budget() {
    if (can_pay_for_send(*this->request))
        return {};
    return this->give_up_without_budget();
}

tl::expected<decision::engine_plan, stream_relay::failed_attempt>
stream_relay::reserve_next_plan(wire::yield_context yield) {
    this->reservation.reset();
    if (this->watch.claimed()) {
        const decision::engine_plan claimed = *this->watch.claimed()->plan;
        this->watch.claimed().reset();
        this->reserve(claimed);
        return claimed;
    }
    // A request that may have run would fail without them.
    if (!this->retained.has_value() && !this->request->record.may_have_run)
        release_reserved_retries(*this->request);
    // What nobody can pay for is not held back for want of an engine.
    POSTPADDLE_TRY_VOID(this->check_budget());
    // Wait before the choice, so that no engine's capacity is reserved meanwhile.
    await_exit_checks(*this->request, yield);
    if (!this->is_caller_waiting())
        return tl::make_unexpected(failed_attempt::give_up);
    const auto plan = this->next_plan(yield);
    // The links may have failed while it waited.
    if (!plan)
        return tl::make_unexpected(should_forward(*this->request) ? failed_attempt::try_again
                                                                  : failed_attempt::give_up);
    // Another attempt of the same request may have failed during the wait for the plan.
    if (is_exit_check_pending(*this->request))
        return tl::make_unexpected(failed_attempt::try_again);
    // Reserve before anything waits again: the engine's capacity is known to be free only now.
    this->reserve(*plan);
    return *plan;
}

tl::expected<request_ending, stream_relay::failed_attempt>
stream_relay::attempt_elsewhere(wire::yield_context yield) {
    this->watch.claimed().reset();
    this->did_end();
    this->progress.decode_engine = {};
    POSTPADDLE_TRY_VOID(this->check_may_continue());
    auto forwarded = forward_request(*this->request, this->events.last_id, yield);
    if (!forwarded)
        return tl::make_unexpected(failed_attempt::try_again);
    exchange_result& exchange = forwarded->exchange;
    this->is_resumed = this->progress.has_started;
    this->transfer_started.reset();
    this->watch.watch_host(forwarded->host);
    set_monitor(*exchange.connection, this->watch.begin_wait().monitor);
    received_answer answer = this->receive_answer(exchange, yield);
    this->watch.end(exchange);
    end_forwarding(*this->request, *forwarded);
    did_forward_stream(*this->request);
    this->last_result = exchange.result;
    this->reason = decision::to_text(exchange.result);
    const auto ending = exchange.result == attempt_result::not_run && !this->progress.has_started
                            ? end_after_refusal(*this->request, *exchange.head, std::move(answer.body), yield)
                            : this->ending_after(exchange, std::move(answer), yield);
    if (ending)
        return *ending;
    // A host that refused to resume the stream would refuse again.
    this->request->is_forwarding_exhausted |= exchange.result == attempt_result::not_run;
    const bool may_retry = decision::may_retry(this->request->record, this->last_result);
    return tl::make_unexpected(may_retry ? failed_attempt::try_again : failed_attempt::give_up);
}

tl::expected<request_ending, stream_relay::failed_attempt> stream_relay::attempt(wire::yield_context yield) {
    const bool is_elsewhere =
        this->watch.claimed() ? !this->watch.claimed()->plan : should_forward(*this->request);
    if (is_elsewhere)
        return this->attempt_elsewhere(yield);
    POSTPADDLE_TRY(plan, this->reserve_next_plan(yield));
    POSTPADDLE_TRY_VOID(this->check_may_continue());
    // Before the prompt is sent: its KV cache is only retained for a short time.
    POSTPADDLE_TRY_VOID(this->prepare_origin(plan, yield));
    if (!this->prepare_plan(plan, yield))
        return tl::make_unexpected(failed_attempt::try_again);
    // State may have changed, and time has passed, while the prompt was processed.
    if (!this->is_caller_waiting())
        return tl::make_unexpected(failed_attempt::give_up);
    // It may run elsewhere than planned.
    POSTPADDLE_TRY_VOID(this->prepare_origin(plan, yield));
    POSTPADDLE_TRY_VOID(this->check_may_continue());
    POSTPADDLE_TRY_VOID(this->charge_send());
    if (const auto ending = this->decode(plan, yield))
        return *ending;
    this->exclude_failed_engine(plan.decode, yield);
    const bool may_retry = decision::may_retry(this->request->record, this->last_result);
    return tl::make_unexpected(may_retry ? failed_attempt::try_again : failed_attempt::give_up);
}

request_ending stream_relay::run(wire::yield_context yield) {
    this->progress.size = record_demand(*this->request);
    this->events.last_id = this->request->routed.resume_after;
    this->request->reserves_retries = true;
    this->find_held_prompt(yield);
    await_splits(*this->request, yield);
    while (this->is_caller_waiting()) {
        const auto ending = this->attempt(yield);
        if (ending) {
            this->did_end();
            return *ending;
        }
        if (ending.error() == failed_attempt::give_up)
            break;
    }
    this->did_end();
    if (this->request->cancellation->is_caller_gone)
        return request_ending::caller_gone;
    return this->end_with_failure(yield);
}

} // namespace postpaddle::gateway
