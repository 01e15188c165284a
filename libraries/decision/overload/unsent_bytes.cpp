// SPDX-License-Identifier: BSD-2-Clause
#include <decision/overload/unsent_bytes.h>

#include <algorithm>
#include <utility>

namespace postpaddle::decision {

namespace {

/// Part of the memory limit. Buffers may occupy twice the bytes that they contain, as strings double their
/// capacity, so half of the memory remains for everything else.
constexpr std::uint64_t memory_divisor = 4;
/// The same for what is collected, in each direction. A body may stand twice for a moment, as it moves on.
constexpr std::uint64_t collected_divisor = 16;
/// The same where a single message takes more than that.
constexpr std::uint64_t max_collected_divisor = 2;
/// For a process without a memory limit.
constexpr std::uint64_t default_collected_bytes = 32UL * 1024 * 1024;
/// Per connection, for a process without a memory limit. 16 KiB contain a whole stream of 69 events; with the
/// default of 1,500 connections the bound is 24 MB, about a quarter of the smallest hosts' 88 MB.
constexpr std::uint64_t bytes_per_connection = 16UL * 1024;

/// What an organisation's readers hold.
struct held_data {
    std::uint64_t bytes = 0;
    std::vector<std::size_t> candidates; ///< Indices; the one that has been behind longest is last.
};

/// Heap by `held_data::bytes` of the organisations that have candidates.
std::vector<held_data> candidates_by_organisation(const std::vector<unsent_reader>& readers,
                                                  base::time_point now) {
    std::map<base::organisation_id, held_data> groups;
    for (std::size_t index = 0; index < readers.size(); ++index) {
        const unsent_reader& reader = readers[index];
        if (reader.bytes == 0)
            continue;
        held_data& held = groups[reader.organisation];
        held.bytes += reader.bytes;
        if (now - reader.behind_since >= min_time_behind)
            held.candidates.push_back(index);
    }
    std::vector<held_data> heap;
    for (auto& [organisation, held] : groups) {
        if (held.candidates.empty())
            continue;
        std::ranges::stable_sort(held.candidates, std::ranges::greater{},
                                 [&](std::size_t index) { return readers[index].behind_since; });
        heap.push_back(std::move(held));
    }
    std::ranges::make_heap(heap, {}, &held_data::bytes);
    return heap;
}

/// Removes those whose data fits beside `total`, the first ones first.
void keep_fitting(std::vector<std::size_t>& chosen, const std::vector<unsent_reader>& readers,
                  std::uint64_t total, std::uint64_t host_bound) {
    std::erase_if(chosen, [&](std::size_t index) {
        const bool does_fit = total + readers[index].bytes <= host_bound;
        if (does_fit)
            total += readers[index].bytes;
        return does_fit;
    });
}

} // namespace

std::uint64_t unsent_bound(const host_memory& memory) {
    if (memory.limit_bytes)
        return *memory.limit_bytes / memory_divisor;
    return memory.connections * bytes_per_connection;
}

std::uint64_t collected_bound(const host_memory& memory) {
    return memory.limit_bytes ? *memory.limit_bytes / collected_divisor : default_collected_bytes;
}

std::uint64_t max_collected_bound(const host_memory& memory) {
    return memory.limit_bytes ? *memory.limit_bytes / max_collected_divisor : UINT64_MAX;
}

unsent_sums sum_unsent(const std::vector<unsent_reader>& readers) {
    unsent_sums sums;
    for (const unsent_reader& each : readers)
        if (each.bytes > 0)
            sums[each.organisation] += each.bytes;
    return sums;
}

std::uint64_t organisation_unsent_bound(const unsent_sums& sums, std::uint64_t host_bound) {
    return host_bound / std::max<std::size_t>(1, sums.size());
}

std::vector<std::size_t> readers_to_disconnect(const std::vector<unsent_reader>& readers,
                                               std::uint64_t host_bound, base::time_point now) {
    const unsent_sums sums = sum_unsent(readers);
    const std::uint64_t organisation_bound = organisation_unsent_bound(sums, host_bound);
    std::uint64_t total = 0;
    for (const auto& [organisation, bytes] : sums)
        total += bytes;
    std::vector<held_data> heap = candidates_by_organisation(readers, now);
    std::vector<std::size_t> chosen;
    while (total > host_bound && !heap.empty()) {
        std::ranges::pop_heap(heap, {}, &held_data::bytes);
        held_data& largest = heap.back();
        if (largest.bytes <= organisation_bound)
            break;
        const std::size_t index = largest.candidates.back();
        largest.candidates.pop_back();
        largest.bytes -= readers[index].bytes;
        total -= readers[index].bytes;
        chosen.push_back(index);
        if (largest.candidates.empty())
            heap.pop_back();
        else
            std::ranges::push_heap(heap, {}, &held_data::bytes);
    }
    keep_fitting(chosen, readers, total, host_bound);
    return chosen;
}

base::time_point next_candidate_at(const std::vector<unsent_reader>& readers, base::time_point now) {
    base::time_point next = now + min_time_behind;
    for (const unsent_reader& each : readers)
        if (each.bytes > 0 && now - each.behind_since < min_time_behind)
            next = std::min(next, each.behind_since + min_time_behind);
    return next;
}

} // namespace postpaddle::decision
