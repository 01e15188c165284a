// SPDX-License-Identifier: BSD-2-Clause
#include <decision/departed_starts.h>

#include <algorithm>

namespace postpaddle::decision {

namespace {

using namespace std::chrono_literals;

/// How long a tombstone is kept. Far above the seconds by which a record may be written or delivered late.
constexpr base::duration tombstone_lifetime = 1h;
/// Interval between two searches for old tombstones.
constexpr base::duration expiry_interval = 1min;

/// Merges a record into its upstream's tombstone, in whatever order they come. The tombstone is about the
/// latest start that any of them names.
void merge(departed_start& tombstone, const departed_record& record) {
    tombstone.offset = std::max(tombstone.offset, record.offset);
    if (!record.entry || record.entry->start_time_ms < tombstone.start_time_ms)
        return;
    if (record.entry->start_time_ms > tombstone.start_time_ms) {
        tombstone.start_time_ms = record.entry->start_time_ms;
        tombstone.sequence = 0;
        tombstone.is_leaving = false;
    }
    tombstone.sequence = std::max(tombstone.sequence, record.entry->sequence);
    tombstone.is_leaving |= record.entry->is_leaving;
}

/// Whether the record shows that the upstream, which a tombstone says has gone, is there.
bool is_present(const departed_start& tombstone, const departed_record& record) {
    if (!record.entry || record.offset < tombstone.offset)
        return false;
    if (record.entry->start_time_ms != tombstone.start_time_ms)
        return record.entry->start_time_ms > tombstone.start_time_ms;
    return !tombstone.is_leaving && record.entry->sequence > tombstone.sequence;
}

} // namespace

bool is_departed(departed_starts& departed, const departed_record& record) {
    const auto found = departed.by_id.find(record.id);
    if (found == departed.by_id.end())
        return false;
    if (is_present(found->second, record)) {
        departed.by_id.erase(found);
        return false;
    }
    merge(found->second, record);
    return true;
}

void record_departed(departed_starts& departed, const base::upstream_id& id,
                     const departed_start& tombstone) {
    departed.by_id[id] = tombstone;
}

void drop_old(departed_starts& departed, base::time_point now) {
    if (now - departed.expired_at < expiry_interval)
        return;
    departed.expired_at = now;
    for (auto& [id, tombstone] : departed.by_id)
        if (!tombstone.met_at)
            tombstone.met_at = now;
    std::erase_if(departed.by_id,
                  [now](const auto& item) { return now - *item.second.met_at >= tombstone_lifetime; });
}

} // namespace postpaddle::decision
