// SPDX-License-Identifier: BSD-2-Clause
#include <decision/departed_starts.h>

#include <algorithm>
#include <utility>

namespace postpaddle::decision {

namespace {

using namespace std::chrono_literals;

/// How long a tombstone is kept. Far above the seconds by which a record may be written or delivered late.
constexpr base::duration tombstone_lifetime = 1h;
/// Interval between two searches for old tombstones.
constexpr base::duration expiry_interval = 1min;

void merge(departed_start& tombstone, const departed_record& record) {
    if (record.entry)
        record_entry(tombstone.history, *record.entry, record.offset);
    else if (record.offset >= tombstone.offset)
        record_removal(tombstone.history, record.offset);
    tombstone.offset = std::max(tombstone.offset, record.offset);
}

} // namespace

std::optional<start_history> try_restore(departed_starts& departed, const departed_record& record) {
    const auto found = departed.by_id.find(record.id);
    if (found == departed.by_id.end())
        return std::nullopt;
    merge(found->second, record);
    if (!record.entry || !is_present(found->second.history))
        return std::nullopt;
    start_history history = std::move(found->second.history);
    departed.by_id.erase(found);
    return history;
}

void record_departed(departed_starts& departed, const base::upstream_id& id, departed_start tombstone) {
    departed.by_id[id] = std::move(tombstone);
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
