// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>

#include <cstdint>
#include <string>
#include <vector>

namespace postpaddle::decision {

/// Whether a request may run more than once.
enum class run_rule { repeatable, at_most_once };

/// What the decision needs to know of a request; no prompt text.
struct request_facts {
    base::request_id id;
    base::organisation_id organisation;
    std::string deployment;                   ///< Name of the deployment that serves it.
    int prompt_tokens = 0;                    ///< Estimate, from the prompt's length.
    int max_tokens = 0;                       ///< Most tokens the caller wants.
    std::vector<std::uint64_t> prefix_hashes; ///< Of growing prefixes, salted by organisation and model.
    int prefix_block_tokens = 0;              ///< Prompt tokens that each prefix hash adds.
    int priority = 5;                         ///< 0 (first) to 9 (last) inside the organisation.
    double weight = 1;                        ///< The organisation's share against others.
    double waste_weight = 0.5;                ///< 0 weighs goodput alone, 1 wasted prefill alone.
    base::duration first_token_target{};
    base::duration per_token_target{};
    base::duration longest_queue{};
    run_rule runs = run_rule::repeatable;

    bool operator==(const request_facts&) const = default;
};

} // namespace postpaddle::decision
