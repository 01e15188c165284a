// SPDX-License-Identifier: BSD-2-Clause
#include <decision/zone_evacuations.h>

#include <algorithm>

namespace postpaddle::decision {

namespace {

void apply_record(zone_evacuations& known, const zone_record& record, evacuation_change& change) {
    const auto [found, is_new] = known.by_zone.try_emplace(record.zone, zone_record{.zone = record.zone});
    zone_record& before = found->second;
    if (!is_new && record.offset <= before.offset)
        return;
    if (record.is_evacuated != before.is_evacuated)
        (record.is_evacuated ? change.evacuated : change.restored).push_back(record.zone);
    before = record;
}

} // namespace

evacuation_change apply_zone_records(zone_evacuations& known, const zone_record_page& page) {
    evacuation_change change;
    // A zone that the sender knows as restored may have been evacuated and restored again before the end of
    // the page. Only zones that the page names as evacuated are.
    std::set<base::zone_id> evacuated;
    for (const zone_record& record : page.records) {
        if (record.is_evacuated)
            evacuated.insert(record.zone);
        if (record.offset >= known.end)
            apply_record(known, record, change);
    }
    if (page.is_complete && page.end > known.end)
        for (auto& [zone, record] : known.by_zone)
            if (record.is_evacuated && record.offset < page.end && !evacuated.contains(zone))
                apply_record(known, {.zone = zone, .is_evacuated = false, .offset = page.end - 1}, change);
    known.end = std::max(known.end, page.end);
    return change;
}

zone_record_page zone_records_of(const zone_evacuations& known) {
    zone_record_page page{.records = {}, .end = known.end, .is_complete = true};
    for (const auto& [zone, record] : known.by_zone)
        page.records.push_back(record);
    return page;
}

std::set<base::zone_id> evacuated_zones(const zone_evacuations& known) {
    std::set<base::zone_id> zones;
    for (const auto& [zone, record] : known.by_zone)
        if (record.is_evacuated)
            zones.insert(zone);
    return zones;
}

} // namespace postpaddle::decision
