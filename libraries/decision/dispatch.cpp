// SPDX-License-Identifier: BSD-2-Clause
#include <decision/dispatch.h>

#include <decision/baseline.h>
#include <decision/request_payment.h>

#include <base/verify.h>

#include <algorithm>
#include <cmath>

namespace postpaddle::decision {

namespace {

using namespace std::chrono_literals;

/// A phase times out after this multiple of its estimate plus `timeout_grace`.
constexpr double timeout_factor = 4;
constexpr base::duration timeout_grace = 1'000ms;
/// Minimum retry delay for refused callers, to prevent retry storms.
constexpr base::duration min_retry_after = 1'000ms;
constexpr std::size_t max_trace_entries = 32;
/// Lifetime of the cached capacity of a deployment.
constexpr base::duration capacity_lifetime = 20ms;

deployment_capacity sum_capacity(const router_state& state, const deployment_state& deployment,
                                 base::time_point now) {
    deployment_capacity total;
    total.at = now;
    for (const engine_index index : deployment.prefill_pool) {
        const engine_state& engine = engine_at(state, index);
        total.prompt_rate += engine.prompt_rate.value * engine.share;
        total.engines += engine.share;
    }
    for (const engine_index index : deployment.decode_pool) {
        total.slots += own_slots(engine_at(state, index));
        total.token_seconds += engine_at(state, index).token_seconds.value;
    }
    total.token_seconds /= std::max(1.0, static_cast<double>(deployment.decode_pool.size()));
    return total;
}

/// Cost of a request: the fraction of the deployment's bottleneck pool it needs, in pool seconds.
double cost_of(const router_state& state, deployment_state& deployment, const request_facts& facts,
               base::time_point now) {
    deployment_capacity& capacity = deployment.capacity;
    if (now - capacity.at >= capacity_lifetime)
        capacity = sum_capacity(state, deployment, now);
    if (capacity.prompt_rate <= 0 || capacity.slots <= 0)
        return 0;
    const double decode_seconds =
        std::max(1.0, facts.max_tokens * deployment.output_ratio.value) * capacity.token_seconds;
    const bool is_decode_bound =
        deployment.decode_cost.value / capacity.slots > deployment.prefill_cost.value / capacity.engines;
    return is_decode_bound ? decode_seconds / capacity.slots : facts.prompt_tokens / capacity.prompt_rate;
}

base::duration retry_after_for(base::duration overrun) { return std::max(min_retry_after, overrun); }

/// Scheduling priority at the engine, lower first: by service class, then by the request's own priority.
int engine_priority_of(service_class kind, const request_facts& facts) {
    static constexpr int class_step = 10;
    return static_cast<int>(kind) * class_step + facts.priority;
}

service_class service_class_of(deployment_state& deployment, const base::organisation_id& organisation,
                               base::time_point now) {
    return is_beyond_share(deployment.queue, organisation, now) ? service_class::beyond_share
                                                                : service_class::within_share;
}

bool has_usable(const router_state& state, const std::vector<engine_index>& pool, base::time_point now) {
    return std::ranges::any_of(pool,
                               [&](engine_index index) { return is_usable(engine_at(state, index), now); });
}

void start_probe(engine_state& engine) {
    if (engine.health.failures > 0)
        engine.health.is_probing = true;
}

void start_baseline(router_state& state, deployment_state& deployment, request_state& request,
                    base::time_point now, effects& out) {
    const engine_index prefill = baseline_prefill(state, deployment, now);
    if (prefill == no_engine_index) {
        end_without_answer(state, request, refusal::no_engine, min_retry_after, out);
        return;
    }
    pair_choice choice;
    choice.prefill = prefill;
    choice.prefill_begin = prefill_begin(engine_at(state, prefill), request.kind, now);
    choice.prefill_end =
        choice.prefill_begin +
        base::from_seconds(request.facts.prompt_tokens / engine_at(state, prefill).prompt_rate.value);
    start_attempt(state, deployment, request, choice, now, out);
}

void reserve_decode(router_state& state, deployment_state& deployment, request_state& request,
                    const pair_choice& choice) {
    engine_state& decode = engine_at(state, choice.decode);
    request.slot_end =
        std::max(choice.ready, choice.slot_free_at) + decode_time(deployment, request.facts, decode);
    request.has_slot = true;
    reserve_slot(decode, request.slot_end);
    update_waiting_count(decode, request, true);
    start_probe(decode);
    link_state& link = link_of(state, choice.prefill, choice.decode);
    // Transfers on a link share its bandwidth, so each reserved transfer occupies the link for its duration.
    const double transfer_seconds = base::to_seconds(choice.transfer - link.facts.latency);
    link.busy_until = std::max(link.busy_until, choice.prefill_end) + base::from_seconds(transfer_seconds);
}

} // namespace

void add_trace_entry(request_state& request, base::time_point now, std::string what) {
    if (request.trace.entries.size() < max_trace_entries)
        request.trace.entries.push_back({base::to_milliseconds(now - request.arrived), std::move(what)});
}

void release_all(router_state& state, request_state& request, effects& out) {
    for (hold& held : request.holds) {
        if (held.is_releasing)
            continue;
        held.is_releasing = true;
        out.emplace_back(
            release_hold{request.facts.id, held.attempt, engine_at(state, held.engine).facts.id});
    }
}

void release_prompt_work(router_state& state, request_state& request) {
    if (request.prefill_work <= 0)
        return;
    double& out =
        engine_at(state, request.prefill).own_prompt_tokens.at(static_cast<std::size_t>(request.kind));
    out = std::max(0.0, out - request.prefill_work);
    request.prefill_work = 0;
}

void update_waiting_count(engine_state& engine, request_state& request, bool is_waiting) {
    if (request.kind != service_class::beyond_share || request.is_waiting_beyond_share == is_waiting)
        return;
    engine.waiting_beyond_share += is_waiting ? 1 : -1;
    request.is_waiting_beyond_share = is_waiting;
}

void release_reservations(router_state& state, request_state& request) {
    if (request.has_slot) {
        engine_state& decode = engine_at(state, request.decode);
        release_slot(decode, request.slot_end);
        update_waiting_count(decode, request, false);
        request.has_slot = false;
    }
    release_prompt_work(state, request);
}

void erase_if_ended(router_state& state, const base::request_id& id) {
    const auto found = state.requests.find(id);
    if (found == state.requests.end() || found->second.at != phase::ended || !found->second.holds.empty())
        return;
    state.ended.push_back(std::move(found->second.trace));
    if (state.ended.size() > state.options.explanations)
        state.ended.pop_front();
    state.requests.erase(found);
}

void end_without_answer(router_state& state, request_state& request, refusal reason,
                        base::duration retry_after, effects& out) {
    if (request.at == phase::queued) {
        remove(state.deployments[request.facts.deployment].queue, request.facts.organisation, request.entry);
        ++state.counters.refused;
    } else {
        ++state.counters.failed;
    }
    release_reservations(state, request);
    release_all(state, request, out);
    release_retries(state, request);
    request.at = phase::ended;
    out.emplace_back(end_request{request.facts.id, reason, retry_after});
}

void start_attempt(router_state& state, deployment_state& deployment, request_state& request,
                   const pair_choice& choice, base::time_point now, effects& out) {
    engine_state& prefill = engine_at(state, choice.prefill);
    pay_for_send(state, request, now);
    ++request.attempt;
    request.at = phase::prefilling;
    request.prefill = choice.prefill;
    request.decode = choice.decode;
    request.prefill_sent = now;
    request.prefill_expected_end = choice.prefill_end;
    request.transfer_estimate = choice.transfer;
    request.first_token_expected = choice.first_token;
    request.engine_priority = engine_priority_of(request.kind, request.facts);
    request.prefill_work = std::max(1, request.facts.prompt_tokens - choice.cached_tokens);
    prefill.own_prompt_tokens.at(static_cast<std::size_t>(request.kind)) += request.prefill_work;
    start_probe(prefill);
    base::upstream_id decode_id;
    if (choice.decode != no_engine_index) {
        reserve_decode(state, deployment, request, choice);
        decode_id = engine_at(state, choice.decode).facts.id;
    }
    request.holds.push_back({request.attempt, choice.prefill});
    state.prefixes.record(choice.prefill, request.facts.prefix_hashes);
    const double expected = base::to_seconds(choice.prefill_end - now);
    out.emplace_back(start_prefill{request.facts.id, request.attempt, prefill.facts.id, decode_id,
                                   request.engine_priority,
                                   base::from_seconds(expected * timeout_factor) + timeout_grace});
    add_trace_entry(request, now,
                    "prefill at " + prefill.facts.id.value + ", decode slot reserved at " +
                        (decode_id.is_empty() ? "no engine yet" : decode_id.value));
}

void send_decode(router_state& state, request_state& request, base::time_point now, effects& out) {
    const engine_state& prefill = engine_at(state, request.prefill);
    const engine_state& decode = engine_at(state, request.decode);
    pay_for_send(state, request, now);
    request.at = phase::transferring;
    request.decode_sent = now;
    request.holds.push_back({request.attempt, request.decode});
    const double transfer = base::to_seconds(request.transfer_estimate);
    const base::duration limit = base::from_seconds(transfer * timeout_factor) + timeout_grace;
    const base::duration retention_left = request.retained_until - now;
    out.emplace_back(start_decode{request.facts.id, request.attempt, prefill.facts.id, decode.facts.id,
                                  request.engine_priority,
                                  std::max<base::duration>(std::min(limit, retention_left), 1ms)});
    add_trace_entry(request, now, "decode at " + decode.facts.id.value);
}

void admit(router_state& state, const request_facts& facts, base::time_point now, effects& out) {
    ++state.counters.arrived;
    record_request(state.retries, state.options.retry_budget, now);
    auto [position, is_new] = state.requests.try_emplace(facts.id);
    if (!is_new) {
        ++state.counters.ignored_events;
        return;
    }
    request_state& request = position->second;
    request.facts = facts;
    request.arrived = now;
    request.deadline = now + facts.first_token_target;
    request.trace.id = facts.id;
    request.trace.organisation = facts.organisation;
    const auto found = state.deployments.find(facts.deployment);
    if (found == state.deployments.end() || found->second.prefill_pool.empty() ||
        found->second.decode_pool.empty()) {
        add_trace_entry(request, now, "refused: the deployment has no pools");
        end_without_answer(state, request, refusal::no_deployment, base::duration::zero(), out);
        erase_if_ended(state, facts.id);
        return;
    }
    deployment_state& deployment = found->second;
    if (state.options.rule != policy::postpaddle) {
        start_baseline(state, deployment, request, now, out);
        erase_if_ended(state, facts.id);
        return;
    }
    if (!has_usable(state, deployment.prefill_pool, now) || !has_usable(state, deployment.decode_pool, now)) {
        add_trace_entry(request, now, "refused: no usable engine");
        end_without_answer(state, request, refusal::no_engine, min_retry_after, out);
        erase_if_ended(state, facts.id);
        return;
    }
    const double cost = cost_of(state, deployment, facts, now);
    record_demand(deployment.queue, facts.organisation, cost, facts.weight, now);
    request.kind = service_class_of(deployment, facts.organisation, now);
    const double wait = cost_ahead(deployment.queue, facts.organisation, cost);
    const base::duration expected =
        base::from_seconds(wait) + min_prefill_time(state, deployment, facts, request.kind, now);
    const base::duration allowed = usable_target(state, facts, request.kind);
    const bool is_full = deployment.queue.length >= state.options.max_queue_length;
    if (is_full || expected > allowed) {
        add_trace_entry(request, now,
                        "refused: first token expected in " +
                            std::to_string(std::lround(base::to_milliseconds(expected))) + " ms");
        end_without_answer(state, request, is_full ? refusal::queue_full : refusal::cannot_meet_target,
                           retry_after_for(expected - allowed), out);
        erase_if_ended(state, facts.id);
        return;
    }
    request.entry = {facts.priority, request.deadline, ++state.arrivals, facts.id, cost};
    enqueue(deployment.queue, facts.organisation, request.entry);
}

namespace {

/// Outcome of trying to start the request at the head of an organisation's queue.
enum class head_result { served, ended, must_wait };

head_result serve_head(router_state& state, deployment_state& deployment,
                       const base::organisation_id& organisation, base::time_point now, effects& out) {
    const queue_entry entry = *deployment.queue.organisations.at(organisation).entries.begin();
    request_state& request = state.requests.at(entry.id);
    request.kind = service_class_of(deployment, organisation, now);
    pairing result = choose_pair(state, deployment, request, now);
    if (result.verdict == pairing_verdict::wait && now - request.arrived <= request.facts.max_queue_time)
        return head_result::must_wait;
    if (result.verdict == pairing_verdict::go) {
        charge(deployment.queue, organisation, entry, request.facts.weight);
        add_sample(deployment.prefill_cost,
                   request.facts.prompt_tokens / engine_at(state, result.best.prefill).prompt_rate.value);
        add_sample(
            deployment.decode_cost,
            base::to_seconds(decode_time(deployment, request.facts, engine_at(state, result.best.decode))));
        request.trace.candidates = std::move(result.candidates);
        start_attempt(state, deployment, request, result.best, now, out);
        return head_result::served;
    }
    const bool has_engine = result.verdict != pairing_verdict::no_engine;
    add_trace_entry(request, now,
                    has_engine ? "refused: the target can no longer be met" : "refused: no usable engine");
    const base::duration overrun = has_engine ? result.best.first_token - request.deadline : base::duration{};
    end_without_answer(state, request, has_engine ? refusal::cannot_meet_target : refusal::no_engine,
                       retry_after_for(overrun), out);
    erase_if_ended(state, entry.id);
    return head_result::ended;
}

void dispatch_deployment(router_state& state, deployment_state& deployment, base::time_point now,
                         effects& out) {
    while (deployment.queue.length > 0) {
        const auto next = next_in_service(deployment.queue);
        POSTPADDLE_VERIFY(next.has_value());
        if (serve_head(state, deployment, *next, now, out) == head_result::must_wait)
            return;
    }
}

} // namespace

void dispatch(router_state& state, base::time_point now, effects& out) {
    for (auto& [name, deployment] : state.deployments)
        dispatch_deployment(state, deployment, now, out);
}

} // namespace postpaddle::decision
