// SPDX-License-Identifier: BSD-2-Clause
#include <decision/router_state.h>

#include <algorithm>

namespace postpaddle::decision {

namespace {

int zone_index(router_state& state, const base::zone_id& zone) {
    const auto found = std::ranges::find(state.zones, zone);
    if (found != state.zones.end())
        return static_cast<int>(found - state.zones.begin());
    state.zones.push_back(zone);
    return static_cast<int>(state.zones.size()) - 1;
}

void apply_engine(router_state& state, const engine_facts& facts) {
    const auto found = state.engine_by_id.find(facts.id);
    if (found == state.engine_by_id.end()) {
        state.engine_by_id[facts.id] = static_cast<engine_index>(state.engines.size());
        state.engines.push_back(make_engine(facts));
        state.engines.back().rounding = std::uniform_real_distribution<double>(0, 1)(state.random);
        state.zone_of_engine.push_back(zone_index(state, facts.zone));
        return;
    }
    engine_state& engine = engine_at(state, found->second);
    if (engine.facts.prompt_tokens_per_second != facts.prompt_tokens_per_second)
        engine.prompt_rate = make_estimate(facts.prompt_tokens_per_second);
    if (engine.facts.seconds_per_token != facts.seconds_per_token)
        engine.token_seconds = make_estimate(facts.seconds_per_token);
    if (engine.facts.is_leaving != facts.is_leaving || !engine.is_present)
        engine.is_leaving = facts.is_leaving;
    engine.facts = facts;
    engine.is_present = true;
    state.zone_of_engine[static_cast<std::size_t>(found->second)] = zone_index(state, facts.zone);
}

std::vector<engine_index> pool_indices(const router_state& state,
                                       const std::vector<base::upstream_id>& pool) {
    std::vector<engine_index> indices;
    indices.reserve(pool.size());
    for (const base::upstream_id& id : pool)
        indices.push_back(state.engine_by_id.at(id));
    return indices;
}

} // namespace

router_state make_router(const router_options& options) {
    router_state state;
    state.options = options;
    state.prefixes = prefix_index(options.prefix_entries);
    state.random.seed(options.seed);
    return state;
}

void apply_topology(router_state& state, const topology& next) {
    state.facts = next;
    for (engine_state& engine : state.engines)
        engine.is_present = false;
    for (const auto& [id, facts] : next.engines)
        apply_engine(state, facts);
    const std::vector<link_state> old_links = std::exchange(state.links, {});
    for (const base::zone_id& from : state.zones)
        for (const base::zone_id& to : state.zones)
            state.links.push_back({link_between(next, from, to), {}});
    if (old_links.size() == state.links.size())
        for (std::size_t index = 0; index < old_links.size(); ++index)
            state.links[index].busy_until = old_links[index].busy_until;
    for (const auto& [name, facts] : next.deployments) {
        deployment_state& deployment = state.deployments[name];
        deployment.facts = facts;
        deployment.prefill_pool = pool_indices(state, facts.prefill_pool);
        deployment.decode_pool = pool_indices(state, facts.decode_pool);
    }
    for (auto& [name, deployment] : state.deployments) {
        if (next.deployments.contains(name))
            continue;
        deployment.prefill_pool.clear();
        deployment.decode_pool.clear();
    }
}

engine_state& engine_at(router_state& state, engine_index index) {
    return state.engines[static_cast<std::size_t>(index)];
}

const engine_state& engine_at(const router_state& state, engine_index index) {
    return state.engines[static_cast<std::size_t>(index)];
}

namespace {

std::size_t link_position(const router_state& state, engine_index from, engine_index to) {
    const auto row = static_cast<std::size_t>(state.zone_of_engine[static_cast<std::size_t>(from)]);
    const auto column = static_cast<std::size_t>(state.zone_of_engine[static_cast<std::size_t>(to)]);
    return row * state.zones.size() + column;
}

} // namespace

link_state& link_of(router_state& state, engine_index from, engine_index to) {
    return state.links[link_position(state, from, to)];
}

const link_state& link_of(const router_state& state, engine_index from, engine_index to) {
    return state.links[link_position(state, from, to)];
}

base::duration decode_time(const deployment_state& deployment, const request_facts& facts,
                           const engine_state& engine) {
    const double tokens = std::max(1.0, facts.max_tokens * deployment.output_ratio.value);
    return base::from_seconds(tokens * engine.token_seconds.value);
}

} // namespace postpaddle::decision
