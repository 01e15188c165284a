// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/plain/plain_relay.h>

#include <gateway/caller_identity.h>
#include <gateway/endings/request_drain.h>
#include <gateway/forwarding/forwarding_sender.h>
#include <gateway/plain/plain_choice.h>
#include <gateway/plain/send_slot_queue.h>
#include <gateway/plain/upstream_load_exchange.h>
#include <gateway/quarantine/request_quarantine.h>
#include <gateway/retry_payment.h>
#include <gateway/upstreams/upstream_exchange.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace postpaddle::gateway {

namespace {

using decision::attempt_result;
using namespace std::chrono_literals;

/// Limit on the body of a plain answer, which is held in memory until it is complete. Twice the usual limit
/// on the body of a request.
constexpr std::size_t max_plain_body_bytes = 8UL * 1024 * 1024;

/// Upstream error answer, forwarded if no other upstream does better.
struct failure_answer {
    wire::response_head head;
    std::string body;
    wire::collected_body held;
};

/// Treats a successful answer without a valid seal as broken.
void require_seal(exchange_result& exchange) {
    if (exchange.result == attempt_result::answered && !exchange.facts.is_sealed) {
        exchange.result = attempt_result::broken;
        exchange.detail = "answer without a valid seal";
    }
}

/// Records a refusal by an upstream that reports free slots: it is not full but fails some of its requests.
void record_refusal_despite_free_slots(gateway_request& request, const base::upstream_id& id,
                                       const exchange_result& exchange) {
    const auto& load = exchange.facts.load;
    if (exchange.result != attempt_result::not_run || exchange.facts.backoff || !load ||
        load->running + load->waiting >= load->slots)
        return;
    if (decision::instance* const target = decision::find_instance(request.state->instances, id))
        decision::record_spurious_refusal(*target);
}

/// Counts a request as sent to an upstream for as long as the object lives.
class scoped_plain_send {
public:
    scoped_plain_send(gateway_state& state, const base::upstream_id& id) : state(&state), id(id) {
        if (decision::instance* const target = decision::find_instance(state.instances, id)) {
            this->start_time_ms = target->entry.start_time_ms;
            decision::record_plain_start(*target, state.clock->now());
        }
    }
    scoped_plain_send(const scoped_plain_send&) = delete;
    scoped_plain_send(scoped_plain_send&&) = delete;
    scoped_plain_send& operator=(const scoped_plain_send&) = delete;
    scoped_plain_send& operator=(scoped_plain_send&&) = delete;
    ~scoped_plain_send() {
        decision::instance* const target = decision::find_instance(this->state->instances, this->id);
        if (target != nullptr && target->entry.start_time_ms == this->start_time_ms)
            decision::record_plain_end(*target, this->state->clock->now());
    }

private:
    gateway_state* state;
    base::upstream_id id;
    std::uint64_t start_time_ms = 0; ///< Start (incarnation) of the instance that the request was sent to.
};

/// Where to send a request now, if anywhere.
struct plain_step {
    std::optional<base::upstream_id> upstream;
    double rounds = 1;       ///< Expected time there relative to that of a request alone.
    bool is_refused = false; ///< The request must not wait either.
    std::optional<decision::plain_decision> decided{}; ///< By load, if it waits.
};

/// Reason given to clients and in logs for refusing a request because of the upstreams' load.
constexpr const char* no_capacity_reason = "no capacity in time";

/// Chooses an upstream without its load, unless that would overtake requests that wait.
plain_step choose_without_load(gateway_request& request, bool has_waited, bool is_by_load) {
    gateway_state& state = *request.state;
    auto chosen = decision::choose_plain(state.instances, choice_context_of(request), state.random);
    if (!chosen || has_waited)
        return {.upstream = std::move(chosen)};
    const decision::instance* const target = decision::find_instance(state.instances, *chosen);
    const bool may_queue = is_by_load || (target != nullptr && decision::is_limited(*target));
    if (may_queue && would_overtake_queue(request, decision::last_position(state.clock->now())))
        return {};
    return {.upstream = std::move(chosen)};
}

/// Chooses an upstream by load where the service's upstreams report it. A request that has waited already
/// goes first.
plain_step choose_step(gateway_request& request, bool has_waited) {
    if (!is_admitted_by_load(request))
        return choose_without_load(request, has_waited, false);
    const decision::plain_decision decision =
        has_waited ? decide_by_load(request, {}) : decide_in_queue(request);
    switch (decision.action) {
    case decision::plain_action::choose_without_load:
        return choose_without_load(request, has_waited, true);
    case decision::plain_action::wait:
        return {.upstream = std::nullopt, .decided = decision};
    case decision::plain_action::refuse:
        count_decision(request, decision);
        return {.upstream = std::nullopt, .is_refused = true};
    case decision::plain_action::send:
        break;
    }
    if (!has_waited && would_overtake_queue(request, queue_position_of(request, decision.in_time)))
        return {.upstream = std::nullopt, .decided = decision};
    count_decision(request, decision);
    return {.upstream = decision.upstream, .rounds = decision.rounds};
}

/// What the attempts at a request have led to so far.
struct relay_progress {
    std::optional<plain_step> claimed; ///< Taken for the next attempt when the one in progress was given up.
    attempt_result last = attempt_result::not_connected;
    std::optional<failure_answer> failure;
    const char* reason = "no upstream"; ///< Why there is no answer.
    bool has_waited = false;
};

/// Finds the next upstream, and waits for it if necessary. Returns nothing if there is none in time; the
/// reason is in `progress`.
std::optional<plain_step> find_next_step(gateway_request& request, relay_progress& progress,
                                         wire::yield_context yield) {
    if (progress.claimed)
        return std::exchange(progress.claimed, std::nullopt);
    while (time_left(request) > 0ms) {
        await_exit_checks(request, yield);
        if (request.cancellation->is_caller_gone || time_left(request) <= 0ms)
            return std::nullopt;
        if (const char* const stop = reason_to_stop(request)) {
            progress.reason = stop;
            return std::nullopt;
        }
        plain_step step = choose_step(request, progress.has_waited);
        if (step.upstream)
            return step;
        if (step.is_refused) {
            progress.reason = no_capacity_reason;
            return std::nullopt;
        }
        progress.has_waited = true;
        if (await_send_slot(request, yield, step.decided))
            continue;
        if (request.retry_delay)
            progress.reason = no_capacity_reason;
        return std::nullopt;
    }
    return std::nullopt;
}

/// Response of an upstream with its body.
struct plain_answer {
    exchange_result exchange;
    std::string body;
};

/// An upstream that the request may be sent to now, if there is one. Records nothing.
std::optional<plain_step> find_free_upstream(gateway_request& request) {
    gateway_state& state = *request.state;
    if (is_admitted_by_load(request)) {
        const decision::plain_decision decision = look_by_load(request);
        if (decision.action == decision::plain_action::send)
            return plain_step{.upstream = decision.upstream, .rounds = decision.rounds};
        if (decision.action != decision::plain_action::choose_without_load)
            return std::nullopt;
    }
    auto chosen = decision::choose_plain(state.instances, choice_context_of(request), state.random);
    return chosen ? std::optional(plain_step{.upstream = std::move(chosen)}) : std::nullopt;
}

/// Takes what another attempt needs, if all of it is to be had now. The upstreams asked so far are left out.
bool try_claim_next(gateway_request& request, relay_progress& progress) {
    if (!may_be_sent_again(request))
        return false;
    const bool is_elsewhere = should_forward(request);
    auto step = is_elsewhere ? std::nullopt : find_free_upstream(request);
    if (!step && !(is_elsewhere && has_forwarding_target(request, {})))
        return false;
    if (!try_reserve_retries(request, 1))
        return false;
    progress.claimed = std::move(step);
    return true;
}

/// Watches an upstream's answer. One that is late is given up only once another attempt is certain.
stall_monitor watch_answer(gateway_request& request, relay_progress& progress) {
    const base::duration limit = attempt_time(request);
    return {request,
            answer_only_source(),
            {.limits = {.limit = limit, .takeover_limit = limit},
             .try_claim_next = [&] { return try_claim_next(request, progress); }}};
}

/// Sends the request to an upstream and reads the complete answer.
plain_answer exchange_once(gateway_request& request, const ports::upstream_attempt& send,
                           relay_progress& progress, wire::yield_context yield) {
    stall_monitor monitor = watch_answer(request, progress);
    const bool is_watched = decision::may_retry_elsewhere(request.record);
    const answer_wait wait = {.deadline = is_watched ? monitor.did_progress() : request.deadline,
                              .monitor = is_watched ? &monitor : nullptr};
    const scoped_plain_send sent(*request.state, send.instance);
    plain_answer answer = {.exchange = send_to_instance(request, send, wait, yield), .body = {}};
    exchange_result& exchange = answer.exchange;
    if (exchange.head && exchange.result != attempt_result::broken)
        answer.body = read_body(exchange, max_plain_body_bytes, wait.deadline, yield);
    require_seal(exchange);
    exchange.stalls = monitor.record();
    end_exchange(request, send, exchange);
    return answer;
}

/// Records what the exchange shows of the upstream's load. Call after the request has been recorded as ended.
void record_load(gateway_request& request, const base::upstream_id& upstream,
                 const exchange_result& exchange) {
    gateway_state& state = *request.state;
    if (state.process->policy.admit_by_load && !request.cancellation->is_caller_gone)
        record_plain_response(state, upstream, exchange);
    if (exchange.result == attempt_result::answered && is_admitted_by_load(request))
        did_end_plain_request(state, request.service);
    record_refusal_despite_free_slots(request, upstream, exchange);
}

/// Records an answer and the time that it took, relative to the rounds that were expected there.
void record_answer(const gateway_request& request, const plain_step& step, const exchange_result& exchange) {
    gateway_state& state = *request.state;
    const base::time_point now = state.clock->now();
    decision::record_response(profile_of(request).responses, now - exchange.sent);
    if (decision::instance* const target = decision::find_instance(state.instances, *step.upstream))
        decision::record_response_time(
            *target, base::from_seconds(base::to_seconds(now - exchange.sent) / step.rounds), now);
    if (wire::is_success(exchange.head->status))
        record_success(request);
}

/// Sends the request to the upstream of the step. Returns nothing if the request has not ended with that.
std::optional<request_ending> attempt(gateway_request& request, const plain_step& step,
                                      relay_progress& progress, wire::yield_context yield) {
    const base::upstream_id& upstream = *step.upstream;
    request.tried.insert(upstream);
    const ports::upstream_attempt send = {
        .instance = upstream,
        .time_left = std::chrono::duration_cast<std::chrono::milliseconds>(time_left(request))};
    // Until the answer has been forwarded.
    const scoped_instance_use work(*request.state, upstream, {.requests = 1});
    plain_answer answer = exchange_once(request, send, progress, yield);
    const exchange_result& exchange = answer.exchange;
    record_load(request, upstream, exchange);
    detect_upstream_exit(request, send, exchange, yield);
    if (request.cancellation->is_caller_gone)
        return request_ending::caller_gone;
    progress.last = exchange.result;
    if (exchange.result == attempt_result::answered) {
        record_answer(request, step, exchange);
        // What its caller hasn't read is accounted for from now on.
        answer.exchange.held.reset();
        return forward_answer(request, *exchange.head, std::move(answer.body), yield);
    }
    if (exchange.result == attempt_result::server_error)
        progress.failure = failure_answer{*exchange.head, std::move(answer.body), exchange.held};
    progress.reason = decision::to_text(exchange.result);
    return std::nullopt;
}

/// Whether to go on after an attempt that did not end the request.
enum class next_step { try_again, give_up };

/// One attempt at an upstream of this host's choice. Returns nothing if the request has not ended with that.
std::optional<request_ending> attempt_here(gateway_request& request, relay_progress& progress,
                                           next_step& next, wire::yield_context yield) {
    // What nobody can pay for is not held back for want of an upstream.
    const bool is_payable = can_pay_for_send(request);
    const auto step = is_payable ? find_next_step(request, progress, yield) : std::nullopt;
    if (is_payable && !step) {
        // The links may have failed while it waited.
        next = should_forward(request) ? next_step::try_again : next_step::give_up;
        return std::nullopt;
    }
    if (!is_payable || !try_charge_send(request)) {
        progress.reason = "no budget for another upstream";
        next = next_step::give_up;
        return std::nullopt;
    }
    return attempt(request, *step, progress, yield);
}

/// Has another host serve the request. Returns nothing if the request has not ended with that.
std::optional<request_ending> attempt_elsewhere(gateway_request& request, relay_progress& progress,
                                                next_step& next, wire::yield_context yield) {
    if (const char* const stop = reason_to_stop(request)) {
        progress.reason = stop;
        next = next_step::give_up;
        return std::nullopt;
    }
    auto forwarded = forward_request(request, std::nullopt, yield);
    if (!forwarded)
        return std::nullopt;
    exchange_result& exchange = forwarded->exchange;
    std::string body;
    if (exchange.head)
        body = read_body(exchange, max_plain_body_bytes, request.deadline, yield);
    require_seal(exchange);
    end_forwarding(request, *forwarded);
    if (request.cancellation->is_caller_gone)
        return request_ending::caller_gone;
    progress.last = exchange.result;
    progress.reason = decision::to_text(exchange.result);
    exchange.held.reset();
    if (exchange.result == attempt_result::answered)
        return forward_answer(request, *exchange.head, std::move(body), yield);
    if (exchange.result == attempt_result::not_run)
        return end_after_refusal(request, *exchange.head, std::move(body), yield);
    return std::nullopt;
}

/// Whether the request may be sent once more after the last attempt.
bool may_try_again(const gateway_request& request, const relay_progress& progress) {
    return time_left(request) > 0ms && !request.cancellation->is_caller_gone &&
           decision::may_retry(request.record, progress.last);
}

} // namespace

request_ending relay_plain(gateway_request& request, wire::yield_context yield) {
    relay_progress progress;
    next_step next = next_step::try_again;
    while (next == next_step::try_again) {
        const auto ending = should_forward(request) ? attempt_elsewhere(request, progress, next, yield)
                                                    : attempt_here(request, progress, next, yield);
        if (ending) {
            release_reserved_retries(request);
            return *ending;
        }
        if (next == next_step::try_again && !may_try_again(request, progress))
            next = next_step::give_up;
    }
    release_reserved_retries(request);
    if (request.cancellation->is_caller_gone)
        return request_ending::caller_gone;
    if (progress.failure)
        return forward_answer(request, progress.failure->head, std::move(progress.failure->body), yield);
    return answer_locally(request, progress.last, progress.reason, yield);
}

} // namespace postpaddle::gateway
