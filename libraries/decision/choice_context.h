// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/engine_speed.h>
#include <decision/placement.h>

#include <map>
#include <set>
#include <string>

namespace postpaddle::decision {

/// Inputs to the choice of upstreams.
struct choice_context {
    std::string service;
    base::zone_id own_zone;
    std::set<base::upstream_id> excluded;  ///< Already tried for this request.
    std::set<base::upstream_id> holding{}; ///< Engines that hold the request's prompt.
    base::time_point now{};
    std::map<base::upstream_id, double>
        reserved{};       ///< Engine memory reserved for requests ahead in the queue.
    engine_speed speed{}; ///< Speed of the service's engines.
    double hold_seconds =
        0; ///< Mean time that a request occupies its slot at a decode engine; 0: not considered.
    placement_limits limits{};
};

/// Size of a request in tokens.
struct prompt_size {
    double prompt_tokens = 0;
    double output_tokens = 0;

    bool operator==(const prompt_size&) const = default;
};

} // namespace postpaddle::decision
