// SPDX-License-Identifier: BSD-2-Clause
#include <decision/start_history.h>

#include <algorithm>

namespace postpaddle::decision {

namespace {

/// Starts kept of an upstream. Records of an earlier one come seconds late at most.
constexpr std::size_t max_starts = 8;

known_start* find_start(start_history& history, std::uint64_t start_time_ms) {
    const auto found = std::ranges::find(history.starts, start_time_ms, &known_start::start_time_ms);
    return found == history.starts.end() ? nullptr : &*found;
}

void add_start(start_history& history, const known_start& start) {
    history.starts.push_back(start);
    if (history.starts.size() > max_starts)
        history.starts.erase(std::ranges::min_element(history.starts, {}, &known_start::offset));
}

/// Merges a record of a start that is known. The result does not depend on the order of records.
void merge(known_start& known, const known_start& record) {
    if (known.is_leaving != record.is_leaving)
        known.offset = known.is_leaving ? known.offset : record.offset;
    else if (known.is_leaving || known.sequence == record.sequence)
        known.offset = std::min(known.offset, record.offset);
    else if (record.sequence > known.sequence)
        known.offset = record.offset;
    known.sequence = std::max(known.sequence, record.sequence);
    known.is_leaving |= record.is_leaving;
}

} // namespace

void record_entry(start_history& history, const settings::upstream_entry& entry, std::uint64_t offset) {
    const known_start record = {.start_time_ms = entry.start_time_ms,
                                .sequence = entry.sequence,
                                .offset = offset,
                                .is_leaving = entry.is_leaving};
    if (known_start* const known = find_start(history, entry.start_time_ms))
        merge(*known, record);
    else
        add_start(history, record);
}

void record_removal(start_history& history, std::uint64_t offset) {
    history.removed_at = std::max(history.removed_at.value_or(0), offset);
}

void record_shutdown(start_history& history, const settings::upstream_entry& entry, std::uint64_t offset) {
    if (known_start* const known = find_start(history, entry.start_time_ms))
        known->is_leaving = true;
    else
        add_start(history, {.start_time_ms = entry.start_time_ms,
                            .sequence = entry.sequence,
                            .offset = offset,
                            .is_leaving = true});
}

const known_start* current_start(const start_history& history) {
    const auto latest = std::ranges::max_element(history.starts, {}, &known_start::offset);
    return latest == history.starts.end() ? nullptr : &*latest;
}

bool is_removed(const start_history& history) {
    const known_start* const current = current_start(history);
    return history.removed_at && (current == nullptr || *history.removed_at >= current->offset);
}

bool is_present(const start_history& history) {
    const known_start* const current = current_start(history);
    return current != nullptr && !current->is_leaving && !is_removed(history);
}

} // namespace postpaddle::decision
