// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>
#include <settings/settings_tree.h>

#include <map>
#include <string>
#include <vector>

namespace postpaddle::settings {

/// Limits of one organisation over all hosts.
struct limit_settings {
    double requests_per_second = 0;
    int concurrent_requests = 0;
    double prompt_tokens_per_second = 0;
    int max_prompt_tokens = 0;
    int max_output_tokens = 0;
    base::duration longest_queue{}; ///< Longest wait before a place is promised.

    bool operator==(const limit_settings&) const = default;
};

/// Whether a request may run more than once.
enum class repeatability { repeatable, not_repeatable };

/// A path prefix that goes to plain upstreams.
struct route_settings {
    std::string name;
    std::string prefix;
    std::vector<base::upstream_id> upstreams;
    repeatability repeats = repeatability::repeatable;
    base::duration timeout{};

    bool operator==(const route_settings&) const = default;
};

/// An organisation's effective settings in typed form.
struct organisation_policy {
    base::organisation_id id;
    int priority = 0;        ///< 0 (first) to 9 (last) inside the organisation.
    double weight = 1;       ///< Share against other organisations.
    double waste_weight = 0; ///< 0 weighs goodput alone, 1 weighs wasted prefill alone.
    base::duration first_token_target{};
    base::duration per_token_target{};
    limit_settings limits;
    std::map<base::model_id, std::string> deployments;
    std::vector<route_settings> routes; ///< Longest prefix first.

    bool operator==(const organisation_policy&) const = default;
};

/// Typed effective settings of one organisation, which must be in the tree.
[[nodiscard]] organisation_policy policy_of(const settings_tree& tree, const base::organisation_id& path);

} // namespace postpaddle::settings
