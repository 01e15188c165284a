// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <settings/node_reader.h>

namespace postpaddle::settings {

/// Mechanisms of a gateway host that can be switched off, each by itself, to measure what it is worth.
struct gateway_policy {
    bool search_held_prompts = true; ///< Ask engines whether they hold the prompt of a caller who asks again.
    bool rerun_where_held =
        true;                 ///< Run a lost stream again at its engine where that still holds the prompt.
    bool refuse_early = true; ///< Refuse at once who can't be in time and has not asked before.
    bool order_by_first_try = true; ///< Let waiting count from a caller's first try, not from this one.
    bool reserve_in_order = true;   ///< Keep memory free for larger requests that go before.
    bool late_prompts_yield = true; ///< Hold back prompts that are late while prefill engines have a queue.
    bool avoid_shut_engines =
        true;                 ///< Send nothing to a prefill engine for a moment after it refused a prompt.
    bool move_engines = true; ///< Order engines from one stage to the other.
    bool tell_loads = true;   ///< Tell the other hosts what this one has in progress.
    bool doubt_memory = true; ///< Take a refusal for memory that nobody told of.
    bool try_before_lapse = true;       ///< Ask an engine that seems full before a kept prompt lapses.
    bool wait_for_first_beliefs = true; ///< Let requests of the first moment wait for settings and registry.

    bool operator==(const gateway_policy&) const = default;
};

/// Name of each field in a host's file.
struct policy_field {
    const char* name;
    bool gateway_policy::*value;
};

/// All fields, in the order of the struct.
[[nodiscard]] const std::vector<policy_field>& policy_fields();

/// Reads the `policy` part of a host's file; what is missing is on.
[[nodiscard]] gateway_policy read_policy(node_reader reader);

} // namespace postpaddle::settings
