// SPDX-License-Identifier: BSD-2-Clause
#include <decision/router.h>

#include <decision/baseline.h>
#include <decision/dispatch.h>
#include <decision/recovery.h>
#include <decision/request_payment.h>

#include <algorithm>
#include <cmath>

namespace postpaddle::decision {

namespace {

/// Event handlers of the routing state machine.
class event_handler {
public:
    event_handler(router_state& state, base::time_point now, effects& out)
        : state(&state), now(now), out(&out) {}

    void operator()(const request_arrived& event) { admit(*this->state, event.facts, this->now, *this->out); }

    void operator()(const prefill_ended& event) {
        request_state* const request = this->current(event.id, event.attempt, phase::prefilling);
        if (request == nullptr)
            return;
        deployment_state& deployment = this->state->deployments[request->facts.deployment];
        engine_state& prefill = engine_at(*this->state, request->prefill);
        this->update_prefill_rate(*request, event);
        record_error(this->errors_of(*request).prefill_bias, this->errors_of(*request).prefill_abs_error,
                     this->now - request->prefill_expected_end);
        record_success(prefill);
        record_send(*this->state, *request, attempt_kind::prefill, attempt_result::answered, this->now);
        const int work = std::max(0, event.prompt_tokens - event.cached_tokens);
        this->state->counters.prefill_tokens += static_cast<std::uint64_t>(work);
        request->facts.prompt_tokens = std::max(1, event.prompt_tokens);
        release_prompt_work(*this->state, *request);
        request->at = phase::retained;
        request->retained_attempt = event.attempt;
        request->retained_until = this->now + deployment.facts.kv_retention;
        add_trace_entry(*request, this->now, "prefill complete");
        this->bind_decode(deployment, *request);
    }

    void operator()(const first_token_seen& event) {
        request_state* const request = this->current(event.id, event.attempt, phase::transferring);
        if (request == nullptr)
            return;
        deployment_state& deployment = this->state->deployments[request->facts.deployment];
        engine_state& decode = engine_at(*this->state, request->decode);
        record_success(decode);
        record_error(this->errors_of(*request).first_token_bias,
                     this->errors_of(*request).first_token_abs_error,
                     this->now - request->first_token_expected);
        update_waiting_count(decode, *request, false);
        request->at = phase::decoding;
        request->first_token_at = this->now;
        request->tokens_relayed = std::max(request->tokens_relayed, 1);
        // The transfer is complete, so the prefill engine has freed its copy of the KV cache.
        std::erase_if(request->holds, [request](const hold& held) {
            return held.engine == request->prefill && held.attempt == request->retained_attempt &&
                   !held.is_releasing;
        });
        const base::time_point end = this->now + decode_time(deployment, request->facts, decode);
        if (request->has_slot) {
            move_reservation(decode, request->slot_end, end);
            request->slot_end = end;
        }
        add_trace_entry(*request, this->now, "first token");
    }

    void operator()(const decode_ended& event) {
        request_state* const request = this->current(event.id, event.attempt, phase::decoding);
        if (request == nullptr)
            return;
        deployment_state& deployment = this->state->deployments[request->facts.deployment];
        engine_state& decode = engine_at(*this->state, request->decode);
        if (event.tokens > 1)
            add_sample(decode.token_seconds,
                       base::to_seconds(this->now - request->first_token_at) / (event.tokens - 1));
        if (request->facts.max_tokens > 0)
            add_sample(deployment.output_ratio,
                       static_cast<double>(event.tokens) / request->facts.max_tokens);
        release_reservations(*this->state, *request);
        std::erase_if(request->holds, [request](const hold& held) {
            return held.engine == request->decode && held.attempt == request->attempt;
        });
        release_all(*this->state, *request, *this->out);
        record_send(*this->state, *request, attempt_kind::run, attempt_result::answered, this->now);
        release_retries(*this->state, *request);
        request->at = phase::ended;
        ++this->state->counters.completed;
        add_trace_entry(*request, this->now,
                        "response complete, " + std::to_string(event.tokens) + " tokens");
        erase_if_ended(*this->state, event.id);
    }

    void operator()(const phase_failed& event) {
        const auto found = this->state->requests.find(event.id);
        if (found == this->state->requests.end() || found->second.attempt != event.attempt ||
            found->second.at == phase::queued || found->second.at == phase::ended) {
            ++this->state->counters.ignored_events;
            return;
        }
        recover(*this->state, found->second, event, this->now, *this->out);
        erase_if_ended(*this->state, event.id);
    }

    void operator()(const caller_disconnected& event) {
        const auto found = this->state->requests.find(event.id);
        if (found == this->state->requests.end() || found->second.at == phase::ended)
            return;
        request_state& request = found->second;
        if (request.at == phase::queued)
            remove(this->state->deployments[request.facts.deployment].queue, request.facts.organisation,
                   request.entry);
        else
            count_wasted_prefill(*this->state, request);
        release_reservations(*this->state, request);
        release_all(*this->state, request, *this->out);
        give_up_send(*this->state, request, this->now);
        release_retries(*this->state, request);
        request.at = phase::ended;
        ++this->state->counters.cancelled;
        add_trace_entry(request, this->now, "caller disconnected");
        erase_if_ended(*this->state, event.id);
    }

    void operator()(const hold_released& event) {
        const auto found = this->state->requests.find(event.id);
        if (found == this->state->requests.end())
            return;
        std::erase_if(found->second.holds, [this, &event](const hold& held) {
            return held.attempt == event.attempt &&
                   engine_at(*this->state, held.engine).facts.id == event.upstream;
        });
        erase_if_ended(*this->state, event.id);
    }

    void operator()(const load_report_received& event) {
        engine_state* const engine = this->engine(event.upstream);
        if (engine == nullptr)
            return;
        apply_load_report(*engine, event.report, event.age, this->now);
    }

    void operator()(const share_granted& event) {
        if (engine_state* const engine = this->engine(event.upstream); engine != nullptr)
            engine->share = std::clamp(event.share, 0.0, 1.0);
    }

    void operator()(const leaving_changed& event) {
        if (engine_state* const engine = this->engine(event.upstream); engine != nullptr)
            engine->is_leaving = event.is_leaving;
    }

    void operator()(const prefixes_evicted& event) {
        const auto found = this->state->engine_by_id.find(event.upstream);
        if (found != this->state->engine_by_id.end())
            this->state->prefixes.evict(found->second, event.prefix_hashes);
    }

    void operator()(const topology_changed& event) { apply_topology(*this->state, event.next); }

    void operator()(const tick& /*event*/) {}

private:
    /// Returns the request if the event belongs to its current attempt and phase. Otherwise counts the event
    /// as ignored and returns null.
    request_state* current(const base::request_id& id, int attempt, phase at) {
        const auto found = this->state->requests.find(id);
        if (found == this->state->requests.end() || found->second.attempt != attempt ||
            found->second.at != at) {
            ++this->state->counters.ignored_events;
            return nullptr;
        }
        return &found->second;
    }

    engine_state* engine(const base::upstream_id& id) {
        const auto found = this->state->engine_by_id.find(id);
        return found == this->state->engine_by_id.end() ? nullptr : &engine_at(*this->state, found->second);
    }

    void update_prefill_rate(const request_state& request, const prefill_ended& event) {
        // Only a prompt that certainly did not queue is a valid sample of the prefill rate.
        engine_state& prefill = engine_at(*this->state, request.prefill);
        const base::duration taken = this->now - request.prefill_sent;
        const double seconds = base::to_seconds(taken);
        const int work = std::max(1, event.prompt_tokens - event.cached_tokens);
        static constexpr int min_sample_tokens = 256;
        const bool was_faster = work / std::max(seconds, 1e-6) >= prefill.prompt_rate.value;
        const bool ran_alone =
            prefill.waits.front().seconds <= 0 &&
            prefill.own_prompt_tokens.front() + prefill.own_prompt_tokens.back() <= request.prefill_work;
        if (work >= min_sample_tokens && (was_faster || ran_alone))
            add_sample(prefill.prompt_rate, work / seconds);
        record_prefill(prefill, request.kind, work, taken, this->now);
    }

    estimate_errors& errors_of(const request_state& request) {
        return this->state->errors.at(static_cast<std::size_t>(request.kind));
    }

    /// Updates the moving averages of the signed and the absolute error.
    static void record_error(double& bias, double& abs_error, base::duration error) {
        static constexpr double gain = 0.05;
        const double seconds = base::to_seconds(error);
        bias += gain * (seconds - bias);
        abs_error += gain * (std::abs(seconds) - abs_error);
    }

    /// Starts decoding at the reserved engine, or at another one if it is no longer usable.
    void bind_decode(deployment_state& deployment, request_state& request) {
        const bool is_reserved =
            request.decode != no_engine_index && is_reserved_usable(engine_at(*this->state, request.decode));
        if (!is_reserved) {
            release_reservations(*this->state, request);
            request.decode = this->choose_late_decode(deployment, request);
        }
        if (request.decode == no_engine_index) {
            count_wasted_prefill(*this->state, request);
            end_without_answer(*this->state, request, refusal::no_engine, std::chrono::seconds(1),
                               *this->out);
            return;
        }
        send_decode(*this->state, request, this->now, *this->out);
    }

    static bool is_reserved_usable(const engine_state& engine) {
        static constexpr int tolerated_failures = 2;
        return engine.is_present && !is_leaving_or_draining(engine) &&
               engine.health.failures <= tolerated_failures;
    }

    engine_index choose_late_decode(deployment_state& deployment, request_state& request) {
        if (this->state->options.rule != policy::postpaddle) {
            const engine_index chosen = baseline_decode(*this->state, deployment, no_engine_index, this->now);
            if (chosen != no_engine_index)
                this->reserve(deployment, request, chosen, this->now);
            return chosen;
        }
        const auto choice =
            choose_decode(*this->state, deployment, request, request.prefill, request.decode, this->now);
        if (!choice)
            return no_engine_index;
        this->reserve(deployment, request, choice->decode, std::max(choice->ready, choice->slot_free_at));
        return choice->decode;
    }

    void reserve(deployment_state& deployment, request_state& request, engine_index index,
                 base::time_point begin) {
        engine_state& decode = engine_at(*this->state, index);
        request.slot_end = begin + decode_time(deployment, request.facts, decode);
        request.has_slot = true;
        reserve_slot(decode, request.slot_end);
        update_waiting_count(decode, request, true);
    }

    router_state* state;
    base::time_point now;
    effects* out;
};

} // namespace

effects step(router_state& state, const event& happened, base::time_point now) {
    effects out;
    std::visit(event_handler(state, now, out), happened);
    dispatch(state, now, out);
    return out;
}

const explanation* explain(const router_state& state, const base::request_id& id) {
    const auto running = state.requests.find(id);
    if (running != state.requests.end())
        return &running->second.trace;
    const auto found = std::ranges::find(state.ended, id, &explanation::id);
    return found == state.ended.end() ? nullptr : &*found;
}

std::size_t queued_requests(const router_state& state) {
    std::size_t total = 0;
    for (const auto& [name, deployment] : state.deployments)
        total += deployment.queue.length;
    return total;
}

} // namespace postpaddle::decision
