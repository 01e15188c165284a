// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/identifier.h>

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace postpaddle::decision {

/// The operator's record on an availability zone.
struct zone_record {
    base::zone_id zone;
    bool is_evacuated = false; ///< Its upstreams get no new work; work in progress completes.
    std::uint64_t offset = 0;  ///< In the operator's log.

    bool operator==(const zone_record&) const = default;
};

/// Records on zones, from the log or from another host.
struct zone_record_page {
    std::vector<zone_record> records{};
    std::uint64_t end = 0; ///< All records before this offset are included.
    bool is_complete =
        false; ///< Zones that are not named are not evacuated; otherwise the page names changes only.

    bool operator==(const zone_record_page&) const = default;
};

/// Zones that the operator has evacuated. The latest record of each zone wins, so hosts that receive the same
/// records in any order converge.
struct zone_evacuations {
    std::map<base::zone_id, zone_record> by_zone;
    std::uint64_t end = 0; ///< All records before this offset have been applied.
};

/// Zones whose state was changed by a page.
struct evacuation_change {
    std::vector<base::zone_id> evacuated;
    std::vector<base::zone_id> restored;

    [[nodiscard]] bool has_changes() const { return !this->evacuated.empty() || !this->restored.empty(); }
};

/// Applies a page. Records that were applied before have no effect.
evacuation_change apply_zone_records(zone_evacuations& known, const zone_record_page& page);

/// All known records, for another host.
[[nodiscard]] zone_record_page zone_records_of(const zone_evacuations& known);

/// Zones that get no new work.
[[nodiscard]] std::set<base::zone_id> evacuated_zones(const zone_evacuations& known);

} // namespace postpaddle::decision
