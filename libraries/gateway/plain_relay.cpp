// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/plain_relay.h>

#include <gateway/caller_identity.h>
#include <gateway/request_quarantine.h>
#include <gateway/send_slot_queue.h>
#include <gateway/upstream_exchange.h>

#include <algorithm>
#include <optional>

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

} // namespace

request_ending relay_plain(gateway_request& request, wire::yield_context yield) {
    attempt_result last = attempt_result::not_connected;
    std::optional<failure_answer> failure;
    const char* reason = "no upstream";
    bool has_waited = false;
    while (time_left(request) > 0ms) {
        await_exit_checks(request, yield);
        if (time_left(request) <= 0ms)
            break;
        if (const char* const stop = reason_to_stop(request)) {
            reason = stop;
            break;
        }
        const auto chosen = decision::choose_plain(request.state->instances, choice_context_of(request),
                                                   request.state->random);
        if (!chosen || (!has_waited && would_overtake_queue(request, *chosen))) {
            has_waited = true;
            if (await_send_slot(request, yield))
                continue;
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
        exchange_result exchange = send_to_instance(request, send, deadline, yield);
        std::string body;
        if (exchange.head.status != 0 && exchange.result != attempt_result::broken)
            body = read_body(exchange, deadline, yield);
        require_seal(exchange);
        end_exchange(request, send, exchange);
        record_refusal_despite_free_slots(request, *chosen, exchange);
        detect_upstream_exit(request, send, exchange, yield);
        if (request.cancellation->is_caller_gone)
            return request_ending::caller_gone;
        last = exchange.result;
        if (last == attempt_result::answered) {
            const base::time_point now = request.state->clock->now();
            decision::instance* const target = decision::find_instance(request.state->instances, *chosen);
            if (target != nullptr)
                decision::record_response_time(*target, now - exchange.sent, now);
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
