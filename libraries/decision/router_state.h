// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/effect.h>
#include <decision/engine_state.h>
#include <decision/event.h>
#include <decision/explanation.h>
#include <decision/fair_queue.h>
#include <decision/prefix_memory.h>
#include <decision/request_facts.h>
#include <decision/retry_budget.h>
#include <decision/topology.h>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace postpaddle::decision {

/// Which decision function chooses engines.
enum class policy {
    postpaddle,  ///< Pairs with a reserved decode place, queue and early refusal.
    round_robin, ///< Baseline: prefill first, engines in turn, no queue.
    least_load,  ///< Baseline: prefill first, least reported load, no queue.
};

/// What does not change while the process runs.
struct router_options {
    policy rule = policy::postpaddle;
    std::uint64_t seed = 1;
    std::size_t longest_queue = 4096;    ///< Requests that wait at most, over all organisations.
    std::size_t prefix_entries = 16'384; ///< Remembered prefixes.
    std::size_t explanations = 1024;     ///< Ended requests that `explain` still knows.

    bool operator==(const router_options&) const = default;
};

/// A hold on an engine that belongs to a request.
struct hold {
    int attempt = 0;
    engine_index engine = no_engine_index;
    bool is_releasing = false;

    bool operator==(const hold&) const = default;
};

/// One request from its arrival until its last hold is gone.
struct request_state {
    request_facts facts;
    phase at = phase::queued;
    base::time_point arrived{};
    base::time_point deadline{}; ///< For the first token.
    queue_entry entry;
    int attempt = 0;
    engine_index prefill = no_engine_index;
    engine_index decode = no_engine_index;
    bool has_place = false; ///< A decode place is promised, ending at `place_end`.
    base::time_point place_end{};
    bool is_waiting_beyond = false; ///< Counted in its decode engine's `waiting_beyond`.
    double prefill_work = 0;        ///< Prompt tokens counted at the prefill engine for this attempt.
    base::time_point prefill_sent{};
    base::time_point prefill_expected_end{};
    base::time_point kept_until{};
    int kept_attempt = 0; ///< Attempt whose prefill result is kept.
    base::time_point decode_sent{};
    base::time_point first_token_at{};
    base::duration transfer_estimate{};
    base::time_point first_token_expected{};
    service_class kind = service_class::within_share; ///< When its prompt was sent.
    int engine_priority = 0;
    int tokens_relayed = 0;
    std::vector<hold> holds;
    explanation story;
};

/// Rate that the transfers over one zone pair share, and until when promised transfers fill it.
struct link_state {
    link_facts facts;
    base::time_point busy_until{};
};

/// What this host may use of a deployment's engines, added up.
struct deployment_capacity {
    double prompt_rate = 0;   ///< Prompt tokens a second.
    double engines = 0;       ///< Prefill engines, by share.
    double places = 0;        ///< Decode places.
    double token_seconds = 0; ///< Mean seconds between tokens.
    base::time_point at{};
};

/// A deployment's pools by index, its queue and what was learned of its outputs.
struct deployment_state {
    deployment_facts facts;
    std::vector<engine_index> prefill_pool;
    std::vector<engine_index> decode_pool;
    fair_queue queue;
    deployment_capacity capacity;
    estimate output_ratio = make_estimate(0.5); ///< Tokens made over tokens asked for.
    estimate prefill_cost = make_estimate(0.1); ///< Prefill engine seconds of a request.
    estimate decode_cost = make_estimate(1);    ///< Decode place seconds of a request.
    std::size_t next_prefill = 0;               ///< For round robin.
    std::size_t next_decode = 0;
};

/// What has been counted since the start.
struct router_counters {
    std::uint64_t arrived = 0;
    std::uint64_t refused = 0;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t retries = 0;
    std::uint64_t kv_reused = 0;
    std::uint64_t prefill_tokens = 0;
    std::uint64_t wasted_prefill_tokens = 0;
    std::uint64_t ignored_events = 0; ///< Late or crossed: of an attempt that is over.

    bool operator==(const router_counters&) const = default;
};

/// How far what happened was from what was expected, in seconds, as a running mean.
struct estimate_errors {
    double prefill_late = 0;     ///< Prompts ended later than expected by this much.
    double prefill_spread = 0;   ///< Mean size of the error, either way.
    double first_token_late = 0; ///< First tokens after the prefill's end.
    double first_token_spread = 0;
};

/// All that the decisions of one host rest on.
struct router_state {
    router_options options;
    topology facts;
    std::vector<engine_state> engines;
    std::unordered_map<base::upstream_id, engine_index> engine_by_id;
    std::vector<base::zone_id> zones;
    std::vector<int> zone_of_engine;
    std::vector<link_state> links; ///< zones × zones, row is the source.
    std::map<std::string, deployment_state> deployments;
    std::unordered_map<base::request_id, request_state> requests;
    prefix_memory prefixes{1};
    retry_budget retries;
    std::deque<explanation> ended; ///< Oldest first.
    std::uint64_t arrivals = 0;
    std::mt19937_64 random;
    router_counters counters;
    std::array<estimate_errors, 2> errors; ///< By service class.
};

/// A router that knows no engines yet.
[[nodiscard]] router_state make_router(const router_options& options);

/// Takes over new settings. Engines that are gone keep their state until their work has ended.
void apply_topology(router_state& state, const topology& next);

/// Link from one engine's zone to another's.
[[nodiscard]] link_state& link_of(router_state& state, engine_index from, engine_index to);
[[nodiscard]] const link_state& link_of(const router_state& state, engine_index from, engine_index to);

/// Engine by position.
[[nodiscard]] engine_state& engine_at(router_state& state, engine_index index);
[[nodiscard]] const engine_state& engine_at(const router_state& state, engine_index index);

/// Expected decode time of a request at an engine.
[[nodiscard]] base::duration decode_time(const deployment_state& deployment, const request_facts& facts,
                                         const engine_state& engine);

} // namespace postpaddle::decision
