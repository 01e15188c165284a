// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/upstream_limit.h>
#include <decision/warm_up.h>

#include <optional>
#include <set>

namespace postpaddle::decision {

/// Where one request may be sent at all, whatever would be best for it.
struct placement_limits {
    std::optional<std::set<base::zone_id>>
        allowed_zones;     ///< Those of the regions that may hold it; else all.
    warm_up_limit warm_up; ///< Of its service.
    rate_sharers sharers;  ///< Of limits that upstreams name.

    bool operator==(const placement_limits&) const = default;
};

/// Whether a request may be sent to an instance now, and if not, why.
enum class placement_verdict {
    allowed,
    evacuated,      ///< The operator has evacuated its availability zone.
    foreign_region, ///< The request may not leave its regions.
    leaving,        ///< It will end.
    resting,        ///< It asked this host for rest.
    limited,        ///< It named a limit, and this host's part of that is used up.
    cold,           ///< It is cold, and this host's part of what it bears is used up.
};

/// To be asked before every send of a request: the first one, prompts to read, runs that go on.
[[nodiscard]] placement_verdict judge_placement(const instance_table& table, const placement_limits& limits,
                                                const instance& candidate, base::time_point now);

/// From when on the request may be sent to an instance, `now` at the earliest; none where time alone does not
/// open it.
[[nodiscard]] std::optional<base::time_point> next_placement(const instance_table& table,
                                                             const placement_limits& limits,
                                                             const instance& candidate, base::time_point now);

/// Whether the operator has evacuated the instance's zone.
[[nodiscard]] bool is_evacuated(const instance_table& table, const instance& candidate);

/// Word for a verdict, as in logs.
[[nodiscard]] const char* to_text(placement_verdict verdict);

} // namespace postpaddle::decision
