// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/router_state.h>

#include <optional>
#include <vector>

namespace postpaddle::decision {

/// A prefill and a decode engine for one request, with the times they are expected to take.
struct pair_choice {
    engine_index prefill = no_engine_index;
    engine_index decode = no_engine_index;
    base::time_point prefill_begin{};
    base::time_point prefill_end{};
    base::duration transfer{};
    base::time_point ready{};       ///< When the KV cache is at the decode engine.
    base::time_point place{};       ///< When a decode place is expected to be free.
    base::time_point first_token{}; ///< The later of the two, and one token.
    int cached_tokens = 0;
    double decode_load = 0; ///< Promised part of this host's places at the decode engine.

    bool operator==(const pair_choice&) const = default;
};

/// Whether a request can go now.
enum class pairing_verdict {
    go,        ///< Start the chosen pair.
    wait,      ///< No place would be free in time, or prefill engines have enough queued; ask again.
    too_late,  ///< Even the best pair can't meet the first-token target.
    no_engine, ///< A pool has no usable engine.
};

/// The best pair and what to do about it.
struct pairing {
    pairing_verdict verdict = pairing_verdict::no_engine;
    pair_choice best;
    std::vector<weighed_pair> weighed; ///< Filled only for a choice that goes.
};

/// Chooses prefill and decode engine together for a request that has waited until now.
[[nodiscard]] pairing choose_pair(router_state& state, const deployment_state& deployment,
                                  const request_state& request, base::time_point now);

/// Chooses a decode engine for a prefill result that `prefill` still keeps, other than `excluded`.
[[nodiscard]] std::optional<pair_choice> choose_decode(const router_state& state,
                                                       const deployment_state& deployment,
                                                       const request_state& request, engine_index prefill,
                                                       engine_index excluded, base::time_point now);

/// Part of the first-token target that estimates may fill.
[[nodiscard]] base::duration usable_target(const router_state& state, const request_facts& facts,
                                           service_class kind);

/// Time to the end of the prompt if it were sent now to the engine that would end it first.
[[nodiscard]] base::duration least_first_token(router_state& state, const deployment_state& deployment,
                                               const request_facts& facts, service_class kind,
                                               base::time_point now);

} // namespace postpaddle::decision
