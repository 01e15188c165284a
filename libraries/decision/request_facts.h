// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>

#include <cstdint>
#include <string>
#include <vector>

namespace postpaddle::decision {

/// Whether a request may be executed more than once.
enum class execution_rule { repeatable, at_most_once };

/// Properties of a request that routing decisions depend on. Contains no prompt text.
struct request_facts {
    base::request_id id;
    base::organisation_id organisation;
    std::string deployment;                   ///< Name of the deployment that serves it.
    int prompt_tokens = 0;                    ///< Estimated from the prompt's length until the prefill ends.
    int max_tokens = 0;                       ///< Maximum number of output tokens.
    std::vector<std::uint64_t> prefix_hashes; ///< One per prefix block, salted by organisation and model.
    int prefix_block_tokens = 0;              ///< Prompt tokens per prefix block.
    int priority = 5;                         ///< 0 (highest) to 9 (lowest) within the organisation.
    double weight = 1;                        ///< The organisation's weight in fair queueing.
    double waste_weight = 0.5; ///< Trade-off from 0 (maximize goodput) to 1 (minimize wasted prefill).
    base::duration first_token_target{};
    base::duration per_token_target{};
    base::duration max_queue_time{};
    execution_rule runs = execution_rule::repeatable;

    bool operator==(const request_facts&) const = default;
};

} // namespace postpaddle::decision
