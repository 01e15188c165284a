// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/effect.h>
#include <decision/engine_state.h>
#include <decision/event.h>
#include <decision/explanation.h>
#include <decision/fair_queue.h>
#include <decision/prefix_index.h>
#include <decision/request_facts.h>
#include <decision/retry_payment.h>
#include <decision/shared_budget.h>
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

/// Routing policy.
enum class policy {
    postpaddle,  ///< Joint engine choice with a reserved decode slot, fair queue and early refusal.
    round_robin, ///< Baseline: round robin, decode engine chosen after the prefill, no queue.
    least_load,  ///< Baseline: least load, decode engine chosen after the prefill, no queue.
};

/// Options that are fixed for the lifetime of the process.
struct router_options {
    policy rule = policy::postpaddle;
    std::uint64_t seed = 1;
    std::size_t max_queue_length = 4096; ///< Maximum queue length of a deployment, over all organisations.
    std::size_t prefix_entries = 16'384; ///< Capacity of the prefix index.
    std::size_t explanations = 1024;     ///< Number of ended requests whose trace is retained.
    /// Arrivals at engines beyond the first of each request, of this host.
    shared_budget_options retry_budget{.ratio = 0.1, .slack = 50, .window = std::chrono::seconds(10)};

    bool operator==(const router_options&) const = default;
};

/// Resources that an attempt of a request occupies at an engine.
struct hold {
    int attempt = 0;
    engine_index engine = no_engine_index;
    bool is_releasing = false;

    bool operator==(const hold&) const = default;
};

/// State of a request from its arrival until its last hold is released.
struct request_state {
    request_facts facts;
    phase at = phase::queued;
    base::time_point arrived{};
    base::time_point deadline{}; ///< For the first token.
    queue_entry entry;
    int attempt = 0;
    engine_index prefill = no_engine_index;
    engine_index decode = no_engine_index;
    bool has_slot = false; ///< A decode slot is reserved until `slot_end`.
    base::time_point slot_end{};
    bool is_waiting_beyond_share = false; ///< Counted in its decode engine's `waiting_beyond_share`.
    double prefill_work = 0; ///< Prompt tokens of this attempt that are outstanding at the prefill engine.
    base::time_point prefill_sent{};
    base::time_point prefill_expected_end{};
    base::time_point retained_until{};
    int retained_attempt = 0; ///< Attempt whose KV cache is retained.
    base::time_point decode_sent{};
    base::time_point first_token_at{};
    base::duration transfer_estimate{};
    base::time_point first_token_expected{};
    service_class kind = service_class::within_share; ///< As of the last dispatch.
    int engine_priority = 0;
    int tokens_relayed = 0;
    std::vector<hold> holds;
    arrival_account arrivals; ///< What engines have received of it.
    retry_payment payment;    ///< Of its retries.
    explanation trace;
};

/// Link between two zones and the time until which reserved transfers occupy it.
struct link_state {
    link_facts facts;
    base::time_point busy_until{};
};

/// Total capacity of a deployment that is available to this host.
struct deployment_capacity {
    double prompt_rate = 0;   ///< Prompt tokens per second.
    double engines = 0;       ///< Prefill engines, weighted by share.
    double slots = 0;         ///< Decode slots.
    double token_seconds = 0; ///< Mean inter-token latency.
    base::time_point at{};
};

/// Pools, queue and learned estimates of a deployment.
struct deployment_state {
    deployment_facts facts;
    std::vector<engine_index> prefill_pool;
    std::vector<engine_index> decode_pool;
    fair_queue queue;
    deployment_capacity capacity;
    estimate output_ratio = make_estimate(0.5); ///< Generated tokens divided by `max_tokens`.
    estimate prefill_cost = make_estimate(0.1); ///< Prefill engine seconds per request.
    estimate decode_cost = make_estimate(1);    ///< Decode slot seconds per request.
    std::size_t next_prefill = 0;               ///< Round-robin position.
    std::size_t next_decode = 0;
};

/// Counters since the start of the process.
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
    std::uint64_t ignored_events = 0; ///< Late, reordered or duplicate events.

    bool operator==(const router_counters&) const = default;
};

/// Moving averages of estimation errors, in seconds.
struct estimate_errors {
    double prefill_bias = 0;          ///< Mean signed error of the prefill end; positive if late.
    double prefill_abs_error = 0;     ///< Mean absolute error of the prefill end.
    double first_token_bias = 0;      ///< Mean signed error of the first token.
    double first_token_abs_error = 0; ///< Mean absolute error of the first token.
};

/// Complete routing state of a host.
struct router_state {
    router_options options;
    topology facts;
    std::vector<engine_state> engines;
    std::unordered_map<base::upstream_id, engine_index> engine_by_id;
    std::vector<base::zone_id> zones;
    std::vector<int> zone_of_engine;
    std::vector<link_state> links; ///< Matrix of zones × zones; the row is the source.
    std::map<std::string, deployment_state> deployments;
    std::unordered_map<base::request_id, request_state> requests;
    prefix_index prefixes{1};
    shared_budget retries;         ///< Of this host.
    std::deque<explanation> ended; ///< Oldest first.
    std::uint64_t arrivals = 0;
    std::mt19937_64 random;
    router_counters counters;
    std::array<estimate_errors, 2> errors; ///< By service class.
};

/// Creates a router without engines.
[[nodiscard]] router_state make_router(const router_options& options);

/// Applies new settings. Removed engines keep their state but are no longer used for new work.
void apply_topology(router_state& state, const topology& next);

/// Link from one engine's zone to another's.
[[nodiscard]] link_state& link_of(router_state& state, engine_index from, engine_index to);
[[nodiscard]] const link_state& link_of(const router_state& state, engine_index from, engine_index to);

/// Engine by index.
[[nodiscard]] engine_state& engine_at(router_state& state, engine_index index);
[[nodiscard]] const engine_state& engine_at(const router_state& state, engine_index index);

/// Expected decode time of a request at an engine.
[[nodiscard]] base::duration decode_time(const deployment_state& deployment, const request_facts& facts,
                                         const engine_state& engine);

} // namespace postpaddle::decision
