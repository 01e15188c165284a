// SPDX-License-Identifier: BSD-2-Clause
#include <decision/baseline.h>

#include <algorithm>

namespace postpaddle::decision {

namespace {

engine_index next_round_robin(const router_state& state, const std::vector<engine_index>& pool,
                              std::size_t& position, engine_index excluded, base::time_point now) {
    for (std::size_t step = 0; step < pool.size(); ++step) {
        const engine_index engine = pool[position++ % pool.size()];
        if (engine != excluded && is_usable(engine_at(state, engine), now))
            return engine;
    }
    return no_engine_index;
}

template <class Load>
engine_index least_loaded(const router_state& state, const std::vector<engine_index>& pool,
                          engine_index excluded, base::time_point now, Load load) {
    engine_index best = no_engine_index;
    for (const engine_index engine : pool) {
        if (engine == excluded || !is_usable(engine_at(state, engine), now))
            continue;
        if (best == no_engine_index || load(engine_at(state, engine)) < load(engine_at(state, best)))
            best = engine;
    }
    return best;
}

} // namespace

engine_index baseline_prefill(router_state& state, deployment_state& deployment, base::time_point now) {
    if (state.options.rule == policy::round_robin)
        return next_round_robin(state, deployment.prefill_pool, deployment.next_prefill, no_engine_index,
                                now);
    return least_loaded(state, deployment.prefill_pool, no_engine_index, now, [](const engine_state& engine) {
        return std::max<double>(engine.own_prompt_tokens.front() + engine.own_prompt_tokens.back(),
                                engine.report.queued_prompt_tokens);
    });
}

engine_index baseline_decode(router_state& state, deployment_state& deployment, engine_index excluded,
                             base::time_point now) {
    if (state.options.rule == policy::round_robin)
        return next_round_robin(state, deployment.decode_pool, deployment.next_decode, excluded, now);
    return least_loaded(state, deployment.decode_pool, excluded, now, [](const engine_state& engine) {
        return reserved_slots(engine) + engine.other_hosts_decodes;
    });
}

} // namespace postpaddle::decision
