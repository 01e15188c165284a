// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>
#include <settings/settings_tree.h>

#include <map>
#include <string>
#include <vector>

namespace postpaddle::decision {

/// Settings of an engine.
struct engine_facts {
    base::upstream_id id;
    base::zone_id zone;
    int decode_slots = 0;
    double prompt_tokens_per_second = 0;
    double seconds_per_token = 0;
    bool is_leaving = false;

    bool operator==(const engine_facts&) const = default;
};

/// Settings of a deployment: the engine pools that serve a model.
struct deployment_facts {
    std::string name;
    std::vector<base::upstream_id> prefill_pool;
    std::vector<base::upstream_id> decode_pool;
    double kv_bytes_per_token = 0;
    base::duration kv_retention{}; ///< Time for which an engine retains the KV cache after a prefill.

    bool operator==(const deployment_facts&) const = default;
};

/// Bandwidth and latency of KV transfers from one availability zone to another.
struct link_facts {
    double bytes_per_second = 0;
    base::duration latency{};

    bool operator==(const link_facts&) const = default;
};

/// Settings of engines, pools and links.
struct topology {
    std::map<base::upstream_id, engine_facts> engines;
    std::map<std::string, deployment_facts> deployments;
    std::map<std::pair<base::zone_id, base::zone_id>, link_facts> links;

    bool operator==(const topology&) const = default;
};

/// Extracts the part of the settings tree that routing decisions use.
[[nodiscard]] topology topology_of(const settings::settings_tree& tree);

/// Returns the link between two zones, with default values if the settings don't specify it.
[[nodiscard]] link_facts link_between(const topology& value, const base::zone_id& from,
                                      const base::zone_id& to);

} // namespace postpaddle::decision
