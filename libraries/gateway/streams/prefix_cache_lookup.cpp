// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/streams/prefix_cache_lookup.h>

#include <base/hashing.h>
#include <gateway/upstreams/upstream_call.h>

#include <algorithm>
#include <vector>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;

/// Maximum number of engines queried per request.
constexpr std::size_t max_queried_engines = 12;
/// Timeout of a query: waiting longer costs about as much as processing the prompt again.
constexpr auto query_timeout = 80ms;
/// Limit on the list of the parts that an engine holds: room for ten thousand.
constexpr std::size_t max_list_bytes = 1024UL * 1024;
/// Lifetime of a cached answer. When a host dies its clients retry at once, so answers are shared between
/// requests.
constexpr base::duration answer_lifetime = 150ms;

/// Outstanding queries of one search. Shared with the querying coroutines, which may outlive the request.
struct pending_queries {
    explicit pending_queries(wire::asio::io_context& context) : all_answered(context) {}

    wire::boot_timer all_answered; ///< Cancelled when the last query has finished.
    std::size_t pending = 0;
};

bool has_fresh_answer(const gateway_state& state, const base::upstream_id& id) {
    const auto found = state.held_prompts.find(id);
    return found != state.held_prompts.end() &&
           state.clock->now() - found->second.reported_at < answer_lifetime;
}

/// Engines to query, ranked by rendezvous hashing so that every host picks the same ones.
std::vector<const decision::instance*> engines_to_query(const gateway_request& request) {
    const base::time_point now = request.state->clock->now();
    const decision::placement_limits limits = placement_limits_of(request);
    std::vector<const decision::instance*> engines;
    for (const auto& [id, engine] : request.state->instances.by_id)
        if (engine.entry.service == request.service && engine.state == decision::listing::listed &&
            engine.entry.stage != settings::engine_stage::none && !engine.is_remote &&
            !decision::is_avoided(engine, now) &&
            decision::check_placement(request.state->instances, limits, engine, now) ==
                decision::placement_verdict::allowed)
            engines.push_back(&engine);
    const std::uint64_t seed = base::hash64(request.routed.prompt_key);
    std::ranges::sort(engines, std::ranges::greater{}, [seed](const decision::instance* engine) {
        return base::hash64(engine->entry.id.value, seed);
    });
    engines.resize(std::min(engines.size(), max_queried_engines));
    return engines;
}

void query_engine(gateway_state& state, const base::upstream_id& id, const std::string& address,
                  wire::yield_context yield) {
    const auto answer = call_upstream(state, address, state.protocol.make_held_prompts_request(id, address),
                                      {.timeout = query_timeout, .body_bytes = max_list_bytes}, yield);
    const auto parts =
        answer ? state.protocol.read_held_prompts(answer->body) : tl::make_unexpected(answer.error());
    state.metrics->count(parts ? "held_parts_told_total" : "held_parts_not_told_total");
    if (parts)
        state.held_prompts[id] = {state.clock->now(), *parts};
}

void query_engines(gateway_request& request, const std::vector<const decision::instance*>& engines,
                   wire::yield_context yield) {
    gateway_state& state = *request.state;
    const auto queries = std::make_shared<pending_queries>(*state.context);
    for (const decision::instance* engine : engines) {
        if (has_fresh_answer(state, engine->entry.id))
            continue;
        ++queries->pending;
        wire::spawn_coroutine(*state.context, [&state, queries, id = engine->entry.id,
                                               address = engine->entry.address](wire::yield_context own) {
            query_engine(state, id, address, own);
            if (--queries->pending == 0)
                queries->all_answered.cancel();
        });
    }
    if (queries->pending == 0)
        return;
    queries->all_answered.expires_after(query_timeout);
    wire::error_code ignored;
    queries->all_answered.async_wait(yield[ignored]);
}

} // namespace

std::set<base::upstream_id> find_engines_holding(gateway_request& request, wire::yield_context yield) {
    if (request.routed.prompt_key.empty())
        return {};
    const auto engines = engines_to_query(request);
    query_engines(request, engines, yield);
    std::set<base::upstream_id> holding;
    for (const auto& [id, answer] : request.state->held_prompts) {
        const bool is_fresh =
            request.state->clock->now() - answer.reported_at < answer_lifetime + query_timeout;
        if (is_fresh && answer.parts.contains(request.routed.prompt_key))
            holding.insert(id);
    }
    return holding;
}

bool does_engine_hold(gateway_request& request, const base::upstream_id& engine, wire::yield_context yield) {
    gateway_state& state = *request.state;
    const decision::instance* const target = decision::find_instance(state.instances, engine);
    if (request.routed.prompt_key.empty() || target == nullptr ||
        target->state != decision::listing::listed || decision::is_backing_off(*target, state.clock->now()))
        return false;
    state.held_prompts.erase(engine);
    query_engine(state, engine, target->entry.address, yield);
    const auto answer = state.held_prompts.find(engine);
    return answer != state.held_prompts.end() && answer->second.parts.contains(request.routed.prompt_key);
}

} // namespace postpaddle::gateway
