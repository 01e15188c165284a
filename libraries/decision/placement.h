// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/warm_up.h>

#include <optional>
#include <set>

namespace postpaddle::decision {

/// Where one request may be sent, whatever would be best for it.
struct placement_limits {
    std::optional<std::set<base::zone_id>>
        allowed_zones;     ///< Those of the regions that may hold it; else all.
    warm_up_limit warm_up; ///< Of its service.

    bool operator==(const placement_limits&) const = default;
};

/// Why a request may not be sent to an instance now.
enum class placement_bar {
    none,
    evacuated,      ///< The operator has evacuated its availability zone.
    foreign_region, ///< The request may not leave its regions.
    cold,           ///< It is cold, and this host's part of what it bears is used up.
};

/// What bars an instance, looked at for every send of a request: the first, prompts to read, runs that go on.
[[nodiscard]] placement_bar bar_of(const instance_table& table, const placement_limits& limits,
                                   const instance& candidate, base::time_point now);

/// Whether the operator has evacuated the instance's zone.
[[nodiscard]] bool is_evacuated(const instance_table& table, const instance& candidate);

/// Word for a bar, as in logs.
[[nodiscard]] const char* to_text(placement_bar bar);

} // namespace postpaddle::decision
