// SPDX-License-Identifier: BSD-2-Clause
#include <decision/placement.h>

namespace postpaddle::decision {

bool is_evacuated(const instance_table& table, const instance& candidate) {
    return !table.evacuated.empty() && table.evacuated.contains(candidate.entry.availability_zone);
}

placement_bar bar_of(const instance_table& table, const placement_limits& limits, const instance& candidate,
                     base::time_point now) {
    if (is_evacuated(table, candidate))
        return placement_bar::evacuated;
    if (limits.allowed_zones && !limits.allowed_zones->contains(candidate.entry.availability_zone))
        return placement_bar::foreign_region;
    return may_send_cold(candidate, limits.warm_up, now) ? placement_bar::none : placement_bar::cold;
}

const char* to_text(placement_bar bar) {
    switch (bar) {
    case placement_bar::none:
        return "none";
    case placement_bar::evacuated:
        return "its zone is evacuated";
    case placement_bar::foreign_region:
        return "outside the allowed regions";
    case placement_bar::cold:
        return "cold";
    }
    return "unknown";
}

} // namespace postpaddle::decision
