// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>
#include <settings/settings_tree.h>

#include <map>
#include <string>
#include <vector>

namespace postpaddle::settings {

/// Limits of an organisation on all hosts together.
struct limit_settings {
    double requests_per_second = 0;
    int concurrent_requests = 0;
    double prompt_tokens_per_second = 0;
    int max_prompt_tokens = 0;
    int max_output_tokens = 0;
    base::duration max_queue_time{}; ///< Maximum wait for a slot reservation.

    bool operator==(const limit_settings&) const = default;
};

/// Whether a request may run more than once.
enum class repeatability { repeatable, not_repeatable };

/// A path prefix that is routed to plain upstreams.
struct route_settings {
    std::string name;
    std::string prefix;
    std::vector<base::upstream_id> upstreams;
    repeatability repeats = repeatability::repeatable;
    base::duration timeout{};

    bool operator==(const route_settings&) const = default;
};

/// Typed effective settings of an organisation.
struct organisation_policy {
    base::organisation_id id;
    int priority = 0;        ///< From 0 (highest) to 9, within the organisation.
    double weight = 1;       ///< Relative to the other organisations.
    double waste_weight = 0; ///< From 0 (maximize goodput only) to 1 (minimize wasted prefill only).
    base::duration first_token_target{};
    base::duration per_token_target{};
    limit_settings limits;
    std::map<base::model_id, std::string> deployments;
    std::vector<route_settings> routes; ///< Longest prefix first.

    bool operator==(const organisation_policy&) const = default;
};

/// Returns the policy of an organisation, which must be in the tree.
[[nodiscard]] organisation_policy policy_of(const settings_tree& tree, const base::organisation_id& path);

} // namespace postpaddle::settings
