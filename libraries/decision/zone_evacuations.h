// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/identifier.h>

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace postpaddle::decision {

/// One of the operator's records on an availability zone.
struct zone_record {
    base::zone_id zone;
    bool is_evacuated = false; ///< Nothing new goes to its upstreams; what runs there ends by itself.
    std::uint64_t offset = 0;  ///< Of its record in the operator's log.

    bool operator==(const zone_record&) const = default;
};

/// Records on zones, read from the log or told by another host.
struct zone_record_page {
    std::vector<zone_record> records{};
    std::uint64_t end = 0; ///< Every record before it is accounted for.
    bool is_whole = false; ///< A zone that is not named is not evacuated; else only changes are named.

    bool operator==(const zone_record_page&) const = default;
};

/// Which zones the operator has evacuated. Of each zone the latest record counts, whoever told it, so hosts
/// that hear the same records in any order come to the same end.
struct zone_evacuations {
    std::map<base::zone_id, zone_record> by_zone;
    std::uint64_t end = 0; ///< Every record before it is accounted for.
};

/// What a page changed.
struct evacuation_change {
    std::vector<base::zone_id> evacuated;
    std::vector<base::zone_id> taken_back;

    [[nodiscard]] bool is_any() const { return !this->evacuated.empty() || !this->taken_back.empty(); }
};

/// Takes a page over. Records that are accounted for change nothing.
evacuation_change apply_zone_records(zone_evacuations& known, const zone_record_page& page);

/// All that is known, for another host.
[[nodiscard]] zone_record_page zone_records_of(const zone_evacuations& known);

/// The zones to which nothing new may be sent.
[[nodiscard]] std::set<base::zone_id> evacuated_zones(const zone_evacuations& known);

} // namespace postpaddle::decision
