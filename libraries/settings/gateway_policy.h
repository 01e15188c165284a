// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <settings/node_reader.h>

namespace postpaddle::settings {

/// Mechanisms of a gateway host that can be disabled individually, to measure their effect.
struct gateway_policy {
    bool find_retained_prompts = true; ///< Query which engines retain the prompt of a caller that retries.
    bool rerun_where_retained = true;  ///< Rerun a broken stream at its engine if that retains the prompt.
    bool refuse_early = true;          ///< Refuse a first try at once if it can't meet its latency target.
    bool order_by_first_try = true;    ///< Measure the wait from a caller's first try, not from this one.
    bool reserve_in_order = true;      ///< Reserve memory for larger requests that are ahead in the queue.
    bool defer_late_prompts = true;    ///< Hold late prompts back while prefill engines have a queue.
    bool avoid_closed_engines = true;  ///< Avoid a prefill engine for a short time after it refused a prompt.
    bool move_engines = true;          ///< Order engines to change their stage.
    bool report_loads = true;          ///< Report this host's work in progress to the other hosts.
    bool infer_unreported_memory = true; ///< Infer unreported memory use from refusals.
    bool try_before_expiry = true;       ///< Try an engine that seems full before a retained prompt expires.
    bool wait_for_initial_state = true;  ///< Let requests wait for the initial settings and registry.
    bool admit_by_load = true;           ///< Hold back or refuse plain requests while upstreams are full.
    bool order_by_rank = true;           ///< Serve waiting requests in the order of their priority.
    bool share_fairly = true;            ///< Serve organisations within their fair share first.
    bool exchange_pace = true;           ///< Exchange the engines' processing times with the other hosts.
    bool recheck_decode_engine = true;   ///< Choose the decode engine again once the prompt is processed.
    bool forward_unreachable = true;     ///< Forward requests for services that only other hosts reach.

    bool operator==(const gateway_policy&) const = default;
};

/// A policy field and its name in a host's settings file.
struct policy_field {
    const char* name;
    bool gateway_policy::*value;
};

/// Returns all fields in the order of the struct.
[[nodiscard]] const std::vector<policy_field>& policy_fields();

/// Reads the `policy` section of a host's settings file; missing fields are enabled.
[[nodiscard]] gateway_policy read_policy(node_reader reader);

} // namespace postpaddle::settings
