// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/engine_speed.h>
#include <decision/placement.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace postpaddle::decision {

/// Inputs to the choice of upstreams.
struct choice_context {
    std::string service;
    base::zone_id own_zone;
    std::set<base::upstream_id> excluded;          ///< Already tried for this request.
    std::set<base::upstream_id> holding{};         ///< Engines that hold the request's prompt.
    std::optional<std::string> software_version{}; ///< The only one that may serve; unset: any.
    std::set<std::string> unsettled_versions{};    ///< Software versions that may not serve yet.
    /// Software versions in the order in which they should serve, as long as they have room; others follow.
    std::vector<std::string> preferred_versions{};
    base::time_point now{};
    std::map<base::upstream_id, double>
        reserved{};       ///< Engine memory reserved for requests ahead in the queue.
    engine_speed speed{}; ///< Speed of the service's engines.
    double hold_seconds =
        0; ///< Mean time that a request occupies its slot at a decode engine; 0: not considered.
    placement_limits limits{};
};

/// Whether an instance's software version may serve.
[[nodiscard]] inline bool may_serve_version(const choice_context& context, const instance& candidate) {
    const std::string& version = candidate.entry.software_version;
    return context.software_version ? version == *context.software_version
                                    : !context.unsettled_versions.contains(version);
}

/// Size of a request in tokens.
struct prompt_size {
    double prompt_tokens = 0;
    double output_tokens = 0;

    bool operator==(const prompt_size&) const = default;
};

} // namespace postpaddle::decision
