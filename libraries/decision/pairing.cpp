// SPDX-License-Identifier: BSD-2-Clause
#include <decision/pairing.h>

#include <algorithm>

namespace postpaddle::decision {

namespace {

using namespace std::chrono_literals;

/// Pools up to this size are evaluated completely. Larger pools are sampled, which also keeps hosts from all
/// choosing the same least loaded engine.
constexpr std::size_t max_exhaustive_pool = 12;
/// Number of engines sampled from a larger pool.
constexpr std::size_t sample_size = 8;
/// Fraction of the KV retention time that a wait for a decode slot may use up if `waste_weight` is 0.
constexpr double max_retention_slack = 0.1;
/// Bounds of the margin for estimation errors, as a fraction of the first-token target.
constexpr double min_target_margin = 0.1;
constexpr double max_target_margin = 0.4;
/// Fraction of the mean absolute error that is added to the margin.
constexpr double abs_error_factor = 0.7;
/// Maximum number of pairs in an explanation.
constexpr std::size_t max_candidates = 6;

struct prefill_option {
    engine_index engine = no_engine_index;
    base::time_point begin{};
    base::time_point end{};
    int cached_tokens = 0;
};

struct decode_option {
    engine_index engine = no_engine_index;
    base::time_point slot_free_at{};
    double token_seconds = 0;
    double load = 0; ///< Reserved fraction of this host's slots.
};

std::vector<engine_index> sample(router_state& state, const std::vector<engine_index>& pool,
                                 base::time_point now, engine_index preferred) {
    std::vector<engine_index> chosen;
    if (pool.size() <= max_exhaustive_pool) {
        // Start at a random engine, so that hosts don't all prefer the same one among equals.
        const std::size_t start = state.random() % pool.size();
        for (std::size_t step = 0; step < pool.size(); ++step) {
            const engine_index engine = pool[(start + step) % pool.size()];
            if (is_usable(engine_at(state, engine), now))
                chosen.push_back(engine);
        }
        return chosen;
    }
    if (preferred != no_engine_index && is_usable(engine_at(state, preferred), now))
        chosen.push_back(preferred);
    // Draw up to twice the sample size, since drawn engines may be unusable or repeated.
    for (std::size_t draw = 0; draw < 2 * sample_size && chosen.size() < sample_size; ++draw) {
        const engine_index engine = pool[state.random() % pool.size()];
        if (is_usable(engine_at(state, engine), now) && std::ranges::find(chosen, engine) == chosen.end())
            chosen.push_back(engine);
    }
    return chosen;
}

int expected_cached_tokens(const router_state& state, const request_facts& facts, engine_index engine) {
    const int blocks = state.prefixes.matched_blocks(engine, facts.prefix_hashes);
    return std::min(facts.prompt_tokens - 1, blocks * facts.prefix_block_tokens);
}

prefill_option evaluate_prefill(const router_state& state, const request_facts& facts, service_class kind,
                                engine_index index, base::time_point now) {
    const engine_state& engine = engine_at(state, index);
    prefill_option option;
    option.engine = index;
    option.begin = prefill_begin(engine, kind, now);
    option.cached_tokens = std::max(0, expected_cached_tokens(state, facts, index));
    const double tokens = std::max(1, facts.prompt_tokens - option.cached_tokens);
    option.end = option.begin + base::from_seconds(tokens / engine.prompt_rate.value);
    return option;
}

decode_option evaluate_decode(const router_state& state, service_class kind, engine_index index,
                              base::time_point now) {
    const engine_state& engine = engine_at(state, index);
    const double load = static_cast<double>(reserved_slots(engine)) / own_slots(engine);
    return {index, next_free_slot(engine, kind, now), engine.token_seconds.value, load};
}

pair_choice combine(const router_state& state, const deployment_state& deployment, const request_facts& facts,
                    const prefill_option& prefill, const decode_option& decode) {
    const link_state& link = link_of(state, prefill.engine, decode.engine);
    const double bytes = facts.prompt_tokens * deployment.facts.kv_bytes_per_token;
    pair_choice choice;
    choice.prefill = prefill.engine;
    choice.decode = decode.engine;
    choice.prefill_begin = prefill.begin;
    choice.prefill_end = prefill.end;
    choice.cached_tokens = prefill.cached_tokens;
    choice.transfer = base::from_seconds(bytes / link.facts.bytes_per_second) + link.facts.latency;
    choice.ready = std::max(prefill.end, link.busy_until) + choice.transfer;
    choice.slot_free_at = decode.slot_free_at;
    choice.decode_load = decode.load;
    choice.first_token =
        std::max(choice.ready, choice.slot_free_at) + base::from_seconds(decode.token_seconds);
    return choice;
}

base::duration slot_wait_slack(const deployment_state& deployment, const request_facts& facts) {
    const double part = max_retention_slack * (1 - facts.waste_weight);
    return base::scaled(deployment.facts.kv_retention, part);
}

candidate_pair describe(const router_state& state, const pair_choice& choice, base::time_point now) {
    return {engine_at(state, choice.prefill).facts.id, engine_at(state, choice.decode).facts.id,
            base::to_milliseconds(choice.first_token - now), base::to_milliseconds(choice.slot_free_at - now),
            choice.cached_tokens};
}

/// Prefers the earlier first token, rounded down to milliseconds, then the less loaded decode engine.
bool is_better(const pair_choice& left, const pair_choice& right) {
    using std::chrono::floor;
    const auto left_time = floor<std::chrono::milliseconds>(left.first_token);
    const auto right_time = floor<std::chrono::milliseconds>(right.first_token);
    if (left_time != right_time)
        return left_time < right_time;
    return left.decode_load < right.decode_load;
}

pairing_verdict judge(const router_state& state, const deployment_state& deployment,
                      const request_state& request, service_class kind, const pair_choice& best) {
    if (best.first_token > request.arrived + usable_target(state, request.facts, kind))
        return pairing_verdict::too_late;
    if (best.slot_free_at > best.ready + slot_wait_slack(deployment, request.facts))
        return pairing_verdict::wait;
    return pairing_verdict::go;
}

} // namespace

base::duration usable_target(const router_state& state, const request_facts& facts, service_class kind) {
    // Reserve a margin for recent estimation errors: a request that misses its target costs as much as one
    // that meets it.
    const double target = base::to_seconds(facts.first_token_target);
    const estimate_errors& errors = state.errors.at(static_cast<std::size_t>(kind));
    const double error =
        std::max(0.0, errors.first_token_bias) + abs_error_factor * errors.first_token_abs_error;
    return base::from_seconds(target -
                              std::clamp(error, min_target_margin * target, max_target_margin * target));
}

namespace {

/// Evaluates all pairs of these engines. The best `max_candidates` pairs are sorted to the front.
std::vector<pair_choice> evaluate_pairs(const router_state& state, const deployment_state& deployment,
                                        const request_facts& facts, service_class kind,
                                        const std::vector<engine_index>& prefills,
                                        const std::vector<engine_index>& decodes, base::time_point now) {
    std::vector<decode_option> options;
    options.reserve(decodes.size());
    for (const engine_index engine : decodes)
        options.push_back(evaluate_decode(state, kind, engine, now));
    std::vector<pair_choice> choices;
    choices.reserve(prefills.size() * decodes.size());
    for (const engine_index engine : prefills) {
        const prefill_option prefill = evaluate_prefill(state, facts, kind, engine, now);
        for (const decode_option& decode : options)
            choices.push_back(combine(state, deployment, facts, prefill, decode));
    }
    const std::size_t sorted = std::min(max_candidates, choices.size());
    std::ranges::partial_sort(choices, choices.begin() + static_cast<std::ptrdiff_t>(sorted), is_better);
    return choices;
}

} // namespace

pairing choose_pair(router_state& state, const deployment_state& deployment, const request_state& request,
                    base::time_point now) {
    const request_facts& facts = request.facts;
    const service_class kind = request.kind;
    const engine_index preferred =
        facts.prefix_hashes.empty() ? no_engine_index
                                    : rendezvous_engine(deployment.prefill_pool, facts.prefix_hashes.front());
    const auto prefills = sample(state, deployment.prefill_pool, now, preferred);
    const auto decodes = sample(state, deployment.decode_pool, now, no_engine_index);
    pairing result;
    if (prefills.empty() || decodes.empty())
        return result;
    std::vector<engine_index> with_room;
    std::ranges::copy_if(prefills, std::back_inserter(with_room), [&state, kind](engine_index engine) {
        return !is_window_full(engine_at(state, engine), kind);
    });
    const bool is_every_window_full = with_room.empty();
    const auto choices = evaluate_pairs(state, deployment, facts, kind,
                                        is_every_window_full ? prefills : with_room, decodes, now);
    result.best = choices.front();
    result.verdict = judge(state, deployment, request, kind, result.best);
    if (result.verdict == pairing_verdict::go && is_every_window_full)
        result.verdict = pairing_verdict::wait;
    if (result.verdict == pairing_verdict::go)
        for (std::size_t index = 0; index < std::min(max_candidates, choices.size()); ++index)
            result.candidates.push_back(describe(state, choices[index], now));
    return result;
}

std::optional<pair_choice> choose_decode(const router_state& state, const deployment_state& deployment,
                                         const request_state& request, engine_index prefill,
                                         engine_index excluded, base::time_point now) {
    const prefill_option retained{prefill, now, now, 0};
    std::optional<pair_choice> best;
    for (const engine_index engine : deployment.decode_pool) {
        if (engine == excluded || !is_usable(engine_at(state, engine), now))
            continue;
        const pair_choice choice = combine(state, deployment, request.facts, retained,
                                           evaluate_decode(state, request.kind, engine, now));
        if (!best || is_better(choice, *best))
            best = choice;
    }
    return best;
}

base::duration min_prefill_time(router_state& state, const deployment_state& deployment,
                                const request_facts& facts, service_class kind, base::time_point now) {
    base::duration min_time = base::duration::max();
    for (const engine_index index : sample(state, deployment.prefill_pool, now, no_engine_index)) {
        const prefill_option option = evaluate_prefill(state, facts, kind, index, now);
        min_time = std::min(min_time, option.end - now);
    }
    return min_time;
}

} // namespace postpaddle::decision
