// SPDX-License-Identifier: BSD-2-Clause
#include <decision/placement.h>

namespace postpaddle::decision {

bool is_evacuated(const instance_table& table, const instance& candidate) {
    return !table.evacuated.empty() && table.evacuated.contains(candidate.entry.availability_zone);
}

placement_verdict judge_placement(const instance_table& table, const placement_limits& limits,
                                  const instance& candidate, base::time_point now) {
    if (is_evacuated(table, candidate))
        return placement_verdict::evacuated;
    if (limits.allowed_zones && !limits.allowed_zones->contains(candidate.entry.availability_zone))
        return placement_verdict::foreign_region;
    return may_send_cold(candidate, limits.warm_up, now) ? placement_verdict::allowed
                                                         : placement_verdict::cold;
}

const char* to_text(placement_verdict verdict) {
    switch (verdict) {
    case placement_verdict::allowed:
        return "allowed";
    case placement_verdict::evacuated:
        return "its zone is evacuated";
    case placement_verdict::foreign_region:
        return "outside the allowed regions";
    case placement_verdict::cold:
        return "cold";
    }
    return "unknown";
}

} // namespace postpaddle::decision
