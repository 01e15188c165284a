// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/choice_context.h>
#include <decision/instance_table.h>

#include <functional>
#include <limits>
#include <random>
#include <vector>

namespace postpaddle::decision {

/// Whether the instance's stage lets it process prompts for other engines.
[[nodiscard]] bool can_prefill(const instance& candidate);

/// Whether the instance's stage lets it serve a request by itself.
[[nodiscard]] bool can_decode(const instance& candidate);

/// Instances that are eligible for new work, of a software version that may serve: those with known load; if
/// none has, all listed ones; if none is listed, the unlisted ones. A request that has tried all listed
/// instances, or finds them resting, limited or cold, does not fall back to unlisted ones, as these may be
/// shutting down.
[[nodiscard]] std::vector<const instance*>
eligible_instances(const instance_table& table, const choice_context& context,
                   const std::function<bool(const instance&)>& can_serve);

/// Cost of any instance in seconds of expected delay: failures, availability zone and a random tie-breaker.
[[nodiscard]] double base_cost(const instance& candidate, const choice_context& context,
                               std::mt19937_64& random);

/// A candidate and its cost; null if there is none.
struct scored_candidate {
    const instance* chosen = nullptr;
    double cost = std::numeric_limits<double>::infinity();
};

[[nodiscard]] scored_candidate cheapest(const std::vector<const instance*>& candidates,
                                        const std::function<double(const instance&)>& cost_of);

/// Chooses among the cheapest candidates: of two that are drawn by weight, the cheaper one. Hosts with the
/// same figures therefore choose different ones. Removes all but the cheapest from `candidates`.
[[nodiscard]] scored_candidate choose_spread(std::vector<scored_candidate>& candidates,
                                             const std::function<double(const instance&)>& weight_of,
                                             std::mt19937_64& random);

} // namespace postpaddle::decision
