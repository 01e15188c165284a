// SPDX-License-Identifier: BSD-2-Clause
#include <decision/placement.h>

#include <algorithm>

namespace postpaddle::decision {

bool is_evacuated(const instance_table& table, const instance& candidate) {
    return !table.evacuated.empty() && table.evacuated.contains(candidate.entry.availability_zone);
}

bool is_withdrawn(const instance_table& table, const instance& candidate) {
    return is_evacuated(table, candidate) || candidate.state == listing::leaving ||
           candidate.state == listing::vanished;
}

placement_verdict check_placement(const instance_table& table, const placement_limits& limits,
                                  const instance& candidate, base::time_point now) {
    if (is_evacuated(table, candidate))
        return placement_verdict::evacuated;
    if (limits.allowed_zones && !limits.allowed_zones->contains(candidate.entry.availability_zone))
        return placement_verdict::foreign_region;
    if (candidate.state == listing::leaving)
        return placement_verdict::leaving;
    if (candidate.state == listing::vanished)
        return placement_verdict::gone;
    if (is_backing_off(candidate, now))
        return placement_verdict::backing_off;
    const auto next = next_limited_send(candidate, limits.group, now);
    if (!next || *next > now)
        return placement_verdict::limited;
    return may_send_cold(candidate, limits.warm_up, now) ? placement_verdict::allowed
                                                         : placement_verdict::cold;
}

std::optional<base::time_point> next_placement_time(const instance_table& table,
                                                    const placement_limits& limits, const instance& candidate,
                                                    base::time_point now) {
    const placement_verdict verdict = check_placement(table, limits, candidate, now);
    if (verdict == placement_verdict::evacuated || verdict == placement_verdict::foreign_region ||
        verdict == placement_verdict::leaving || verdict == placement_verdict::gone)
        return std::nullopt;
    const auto limited = next_limited_send(candidate, limits.group, now);
    if (!limited)
        return std::nullopt;
    return std::max({*limited, next_cold_send(candidate, limits.warm_up, now), candidate.backoff_until});
}

const char* to_text(placement_verdict verdict) {
    switch (verdict) {
    case placement_verdict::allowed:
        return "allowed";
    case placement_verdict::evacuated:
        return "its zone is evacuated";
    case placement_verdict::foreign_region:
        return "outside the allowed regions";
    case placement_verdict::leaving:
        return "leaving";
    case placement_verdict::gone:
        return "its registry entry has gone";
    case placement_verdict::backing_off:
        return "asked for rest";
    case placement_verdict::limited:
        return "over the limit that it names";
    case placement_verdict::cold:
        return "cold";
    }
    return "unknown";
}

} // namespace postpaddle::decision
