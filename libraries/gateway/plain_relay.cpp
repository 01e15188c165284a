// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/plain_relay.h>

#include <gateway/caller_identity.h>
#include <gateway/plain_choice.h>
#include <gateway/request_quarantine.h>
#include <gateway/send_slot_queue.h>
#include <gateway/upstream_exchange.h>
#include <gateway/upstream_load_exchange.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace postpaddle::gateway {

namespace {

using decision::attempt_result;
using namespace std::chrono_literals;

/// Upstream error answer, forwarded if no other upstream does better.
struct failure_answer {
    wire::response_head head;
    std::string body;
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

/// Counts a request as sent to an upstream for as long as the object lives, or until it ends.
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
    ~scoped_plain_send() { this->did_end(); }

    void did_end() {
        decision::instance* const target = decision::find_instance(this->state->instances, this->id);
        if (std::exchange(this->has_ended, true) || target == nullptr ||
            target->entry.start_time_ms != this->start_time_ms)
            return;
        decision::record_plain_end(*target, this->state->clock->now());
    }

private:
    gateway_state* state;
    base::upstream_id id;
    std::uint64_t start_time_ms = 0; ///< Start (incarnation) of the instance that the request was sent to.
    bool has_ended = false;
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
        has_waited ? decide_by_load(request, 0) : decide_in_queue(request);
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
    if (!has_waited && would_overtake_queue(request, queue_position_of(request, decision)))
        return {.upstream = std::nullopt, .decided = decision};
    count_decision(request, decision);
    return {.upstream = decision.upstream, .rounds = decision.rounds};
}

} // namespace

request_ending relay_plain(gateway_request& request, wire::yield_context yield) {
    attempt_result last = attempt_result::not_connected;
    std::optional<failure_answer> failure;
    const char* reason = "no upstream";
    bool has_waited = false;
    while (time_left(request) > 0ms) {
        await_exit_checks(request, yield);
        if (request.cancellation->is_caller_gone)
            return request_ending::caller_gone;
        if (time_left(request) <= 0ms)
            break;
        if (const char* const stop = reason_to_stop(request)) {
            reason = stop;
            break;
        }
        const plain_step step = choose_step(request, has_waited);
        if (step.is_refused) {
            reason = no_capacity_reason;
            break;
        }
        const auto& chosen = step.upstream;
        if (!chosen) {
            has_waited = true;
            if (await_send_slot(request, yield, step.decided))
                continue;
            if (request.cancellation->is_caller_gone)
                return request_ending::caller_gone;
            if (request.retry_delay)
                reason = no_capacity_reason;
            break;
        }
        if (!try_charge_send(request)) {
            reason = "no budget for another upstream";
            break;
        }
        request.tried.insert(*chosen);
        const base::time_point deadline =
            request.state->clock->now() + decision::attempt_timeout(request.record, time_left(request));
        const ports::upstream_attempt send = {
            .instance = *chosen,
            .time_left = std::chrono::duration_cast<std::chrono::milliseconds>(time_left(request))};
        const scoped_instance_use work(*request.state, *chosen, {.requests = 1});
        scoped_plain_send sent(*request.state, *chosen);
        exchange_result exchange = send_to_instance(request, send, deadline, yield);
        std::string body;
        if (exchange.head.status != 0 && exchange.result != attempt_result::broken)
            body = read_body(exchange, deadline, yield);
        require_seal(exchange);
        end_exchange(request, send, exchange);
        sent.did_end();
        if (request.state->process->policy.admit_by_load && !request.cancellation->is_caller_gone)
            record_plain_response(*request.state, *chosen, exchange);
        if (exchange.result == attempt_result::answered && is_admitted_by_load(request))
            did_end_plain_request(*request.state, request.service);
        record_refusal_despite_free_slots(request, *chosen, exchange);
        detect_upstream_exit(request, send, exchange, yield);
        if (request.cancellation->is_caller_gone)
            return request_ending::caller_gone;
        last = exchange.result;
        if (last == attempt_result::answered) {
            const base::time_point now = request.state->clock->now();
            decision::instance* const target = decision::find_instance(request.state->instances, *chosen);
            if (target != nullptr)
                decision::record_response_time(
                    *target, base::from_seconds(base::to_seconds(now - exchange.sent) / step.rounds), now);
            if (wire::is_success(exchange.head.status))
                record_success(request);
            return forward_answer(request, exchange.head, std::move(body), yield);
        }
        if (last == attempt_result::server_error)
            failure = failure_answer{exchange.head, std::move(body)};
        reason = decision::to_text(last);
        if (!decision::may_retry(request.record, last))
            break;
    }
    if (failure)
        return forward_answer(request, failure->head, std::move(failure->body), yield);
    return answer_locally(request, last, reason, yield);
}

} // namespace postpaddle::gateway
