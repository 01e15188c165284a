// SPDX-License-Identifier: BSD-2-Clause
#include <decision/recovery.h>

#include <decision/baseline.h>
#include <decision/dispatch.h>
#include <decision/pairing.h>
#include <decision/request_payment.h>

#include <algorithm>

namespace postpaddle::decision {

namespace {

using namespace std::chrono_literals;

constexpr int max_attempts = 3;
/// Minimum remaining KV retention time after the transfer for a reuse to be attempted.
constexpr base::duration retention_margin = 100ms;
constexpr base::duration retry_after_failure = 1'000ms;

bool is_decode_side(phase at) { return at == phase::transferring || at == phase::decoding; }

bool may_retry(const request_state& request, const phase_failed& failed) {
    if (request.attempt >= max_attempts)
        return false;
    // A refused attempt was not executed, so retrying it doesn't violate at-most-once.
    return request.facts.runs == execution_rule::repeatable || failed.reason == failure::refused;
}

/// Continues with the retained KV cache at another decode engine. Returns whether it did.
bool try_reuse(router_state& state, deployment_state& deployment, request_state& request,
               engine_index failed_decode, base::time_point now, effects& out) {
    const auto choice = choose_decode(state, deployment, request, request.prefill, failed_decode, now);
    if (!choice)
        return false;
    const base::time_point needed = std::max(choice->ready, choice->slot_free_at) + retention_margin;
    const int retries = is_retry(request.arrivals) ? 1 : 0;
    if (needed > request.retained_until || !try_reserve_retries(state, request, retries, now))
        return false;
    ++state.counters.retries;
    ++state.counters.kv_reused;
    ++request.attempt;
    request.decode = choice->decode;
    engine_state& decode = engine_at(state, choice->decode);
    request.slot_end =
        std::max(choice->ready, choice->slot_free_at) + decode_time(deployment, request.facts, decode);
    request.has_slot = true;
    reserve_slot(decode, request.slot_end);
    update_waiting_count(decode, request, true);
    add_trace_entry(request, now, "retained KV cache reused");
    send_decode(state, request, now, out);
    return true;
}

/// Prefills again if the target can still be met or the stream has already begun. Returns whether it did.
bool try_prefill_again(router_state& state, deployment_state& deployment, request_state& request,
                       base::time_point now, effects& out) {
    pair_choice choice;
    if (state.options.rule == policy::postpaddle) {
        pairing result = choose_pair(state, deployment, request, now);
        if (result.verdict == pairing_verdict::no_engine)
            return false;
        const bool has_begun = request.tokens_relayed > 0;
        if (!has_begun && result.best.first_token > request.deadline)
            return false;
        choice = result.best;
    } else {
        choice.prefill = baseline_prefill(state, deployment, now);
        if (choice.prefill == no_engine_index)
            return false;
        choice.prefill_begin = prefill_begin(engine_at(state, choice.prefill), request.kind, now);
        choice.prefill_end =
            choice.prefill_begin + base::from_seconds(request.facts.prompt_tokens /
                                                      engine_at(state, choice.prefill).prompt_rate.value);
    }
    if (!try_reserve_retries(state, request, retries_for_prompt_and_run(request.arrivals), now))
        return false;
    ++state.counters.retries;
    start_attempt(state, deployment, request, choice, now, out);
    return true;
}

/// Releases the holds at the failed engine. A retained KV cache at another engine stays available for reuse.
void release_failed(router_state& state, request_state& request, engine_index failed_engine, effects& out) {
    for (hold& held : request.holds) {
        if (held.is_releasing || held.engine != failed_engine)
            continue;
        held.is_releasing = true;
        out.emplace_back(
            release_hold{request.facts.id, held.attempt, engine_at(state, held.engine).facts.id});
    }
}

} // namespace

void count_wasted_prefill(router_state& state, request_state& request) {
    const auto tokens = static_cast<std::uint64_t>(std::max(0, request.facts.prompt_tokens));
    state.counters.wasted_prefill_tokens += tokens;
    request.trace.wasted_prefill_tokens += request.facts.prompt_tokens;
}

void recover(router_state& state, request_state& request, const phase_failed& failed, base::time_point now,
             effects& out) {
    const phase failed_phase = request.at;
    const engine_index failed_engine = is_decode_side(failed_phase) ? request.decode : request.prefill;
    deployment_state& deployment = state.deployments[request.facts.deployment];
    request.tokens_relayed = std::max(request.tokens_relayed, failed.tokens_relayed);
    if (failed.has_engine_exited)
        record_process_exit(engine_at(state, failed_engine), now);
    else if (failed.reason != failure::lost_kv)
        record_failure(engine_at(state, failed_engine), now);
    add_trace_entry(request, now, "failed at " + engine_at(state, failed_engine).facts.id.value);
    release_reservations(state, request);
    release_failed(state, request, failed_engine, out);
    if (failed_phase != phase::retained)
        record_send(state, request, is_decode_side(failed_phase) ? attempt_kind::run : attempt_kind::prefill,
                    result_of(failed.reason), now);
    const bool can_retry = may_retry(request, failed);
    if (can_retry && failed_phase == phase::transferring && failed.reason != failure::lost_kv &&
        try_reuse(state, deployment, request, failed_engine, now, out))
        return;
    if (is_decode_side(failed_phase))
        count_wasted_prefill(state, request);
    release_all(state, request, out);
    if (can_retry && try_prefill_again(state, deployment, request, now, out))
        return;
    end_without_answer(state, request, refusal::upstream_failed, retry_after_failure, out);
}

} // namespace postpaddle::decision
