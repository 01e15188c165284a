// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/router_state.h>

#include <optional>
#include <vector>

namespace postpaddle::decision {

/// A prefill and a decode engine for a request, with the expected times.
struct pair_choice {
    engine_index prefill = no_engine_index;
    engine_index decode = no_engine_index;
    base::time_point prefill_begin{};
    base::time_point prefill_end{};
    base::duration transfer{};
    base::time_point ready{};        ///< When the KV cache arrives at the decode engine.
    base::time_point slot_free_at{}; ///< When a decode slot is free.
    base::time_point first_token{};  ///< One token after the later of the two.
    int cached_tokens = 0;
    double decode_load = 0; ///< Reserved fraction of this host's slots at the decode engine.

    bool operator==(const pair_choice&) const = default;
};

/// Whether a request can start now.
enum class pairing_verdict {
    go,        ///< Start the chosen pair.
    wait,      ///< No decode slot is free soon enough, or the prefill windows are full; try again later.
    too_late,  ///< Even the best pair can't meet the first-token target.
    no_engine, ///< A pool has no usable engine.
};

/// Best engine pair for a request and whether to start it.
struct pairing {
    pairing_verdict verdict = pairing_verdict::no_engine;
    pair_choice best;
    std::vector<candidate_pair> candidates; ///< Filled only if the verdict is `go`.
};

/// Chooses a prefill and a decode engine jointly for a request.
[[nodiscard]] pairing choose_pair(router_state& state, const deployment_state& deployment,
                                  const request_state& request, base::time_point now);

/// Chooses a decode engine other than `excluded` for a KV cache that `prefill` still retains.
[[nodiscard]] std::optional<pair_choice> choose_decode(const router_state& state,
                                                       const deployment_state& deployment,
                                                       const request_state& request, engine_index prefill,
                                                       engine_index excluded, base::time_point now);

/// First-token target minus a margin for estimation errors.
[[nodiscard]] base::duration usable_target(const router_state& state, const request_facts& facts,
                                           service_class kind);

/// Shortest expected time to the end of the prefill if the prompt were sent now.
[[nodiscard]] base::duration min_prefill_time(router_state& state, const deployment_state& deployment,
                                              const request_facts& facts, service_class kind,
                                              base::time_point now);

} // namespace postpaddle::decision
