// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/identifier.h>

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace postpaddle::decision {

/// The operator's word on one availability zone.
struct zone_word {
    base::zone_id zone;
    bool is_evacuated = false; ///< Nothing new goes to its upstreams; what runs there ends by itself.
    std::uint64_t offset = 0;  ///< Of its record in the operator's log.

    bool operator==(const zone_word&) const = default;
};

/// Words on zones, read from the log or told by another host.
struct zone_word_page {
    std::vector<zone_word> words{};
    std::uint64_t end = 0; ///< Every record before it is accounted for.
    bool is_whole = false; ///< A zone that is not named is not evacuated; else only changes are named.

    bool operator==(const zone_word_page&) const = default;
};

/// Which zones the operator has evacuated. Of each zone the latest record counts, whoever told it, so hosts
/// that hear the same records in any order come to the same end.
struct zone_evacuations {
    std::map<base::zone_id, zone_word> by_zone;
    std::uint64_t end = 0; ///< Every record before it is accounted for.
};

/// What a page changed.
struct evacuation_change {
    std::vector<base::zone_id> evacuated;
    std::vector<base::zone_id> taken_back;

    [[nodiscard]] bool is_any() const { return !this->evacuated.empty() || !this->taken_back.empty(); }
};

/// Takes a page over. Records that are accounted for change nothing.
evacuation_change take_zone_words(zone_evacuations& known, const zone_word_page& page);

/// All that is known, for another host.
[[nodiscard]] zone_word_page zone_words_of(const zone_evacuations& known);

/// The zones to which nothing new may be sent.
[[nodiscard]] std::set<base::zone_id> evacuated_zones(const zone_evacuations& known);

} // namespace postpaddle::decision
