// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/upstream_limit.h>
#include <decision/warm_up.h>

#include <optional>
#include <set>

namespace postpaddle::decision {

/// Constraints on the instances to which a request may be sent.
struct placement_limits {
    std::optional<std::set<base::zone_id>>
        allowed_zones;     ///< Zones of the regions that may hold it; unset: all.
    warm_up_limit warm_up; ///< Of the request's service.
    rate_group group;      ///< Hosts that share advertised rate limits.

    bool operator==(const placement_limits&) const = default;
};

/// Whether a request may be sent to an instance now, and if not, why.
enum class placement_verdict {
    allowed,
    evacuated,      ///< The operator has evacuated its availability zone.
    foreign_region, ///< The request may not leave its regions.
    leaving,        ///< It announced its shutdown.
    gone,           ///< Its registry entry has gone.
    backing_off,    ///< It asked this host to back off.
    limited,        ///< This host's share of its advertised rate limit is used up.
    cold,           ///< It is cold, and this host's share of the warm-up rate is used up.
};

/// Must be checked before every attempt, including prefills and resumed streams.
[[nodiscard]] placement_verdict check_placement(const instance_table& table, const placement_limits& limits,
                                                const instance& candidate, base::time_point now);

/// Earliest time at which the request may be sent to an instance, `now` or later; none if it does not become
/// available by time alone.
[[nodiscard]] std::optional<base::time_point> next_placement_time(const instance_table& table,
                                                                  const placement_limits& limits,
                                                                  const instance& candidate,
                                                                  base::time_point now);

/// Whether nothing may be sent to an instance any more: its zone is evacuated, it is leaving, or its registry
/// entry has gone. Cheaper than `check_placement`, for the moment before a request is written.
[[nodiscard]] bool is_withdrawn(const instance_table& table, const instance& candidate);

[[nodiscard]] bool is_evacuated(const instance_table& table, const instance& candidate);

/// Text for logs.
[[nodiscard]] const char* to_text(placement_verdict verdict);

} // namespace postpaddle::decision
