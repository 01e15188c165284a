// SPDX-License-Identifier: BSD-2-Clause
#include <decision/overload/unsent_bytes.h>

#include <algorithm>
#include <map>

namespace postpaddle::decision {

namespace {

/// Part of the memory limit. Buffers may occupy twice the bytes that they contain, as strings double their
/// capacity, so half of the memory remains for everything else.
constexpr std::uint64_t memory_divisor = 4;
/// Per connection, for a process without a memory limit. 16 KiB contain a whole stream of 69 events; with the
/// default of 1,500 connections the bound is 24 MB, about a quarter of the smallest hosts' 88 MB.
constexpr std::uint64_t bytes_per_connection = 16UL * 1024;

struct held_data {
    std::uint64_t bytes = 0;
    std::vector<std::size_t> readers; ///< Indices.
};

std::map<base::organisation_id, held_data> group_by_organisation(const std::vector<unsent_reader>& readers) {
    std::map<base::organisation_id, held_data> groups;
    for (std::size_t index = 0; index < readers.size(); ++index) {
        if (readers[index].bytes == 0)
            continue;
        held_data& held = groups[readers[index].organisation];
        held.bytes += readers[index].bytes;
        held.readers.push_back(index);
    }
    return groups;
}

} // namespace

std::uint64_t unsent_bound(const host_memory& memory) {
    if (memory.limit_bytes)
        return *memory.limit_bytes / memory_divisor;
    return memory.connections * bytes_per_connection;
}

std::uint64_t organisation_unsent_bound(const std::vector<unsent_reader>& readers, std::uint64_t host_bound) {
    const std::size_t holders = group_by_organisation(readers).size();
    return host_bound / std::max<std::size_t>(1, holders);
}

std::vector<std::size_t> readers_to_disconnect(const std::vector<unsent_reader>& readers,
                                               std::uint64_t host_bound) {
    auto groups = group_by_organisation(readers);
    std::uint64_t total = 0;
    for (auto& [organisation, held] : groups) {
        total += held.bytes;
        // The one that has been behind longest is last.
        std::ranges::stable_sort(held.readers, std::ranges::greater{},
                                 [&](std::size_t index) { return readers[index].behind_since; });
    }
    std::vector<std::size_t> chosen;
    while (total > host_bound) {
        held_data& largest = std::ranges::max_element(groups, {}, [](const auto& group) {
                                 return group.second.bytes;
                             })->second;
        const std::size_t index = largest.readers.back();
        largest.readers.pop_back();
        largest.bytes -= readers[index].bytes;
        total -= readers[index].bytes;
        chosen.push_back(index);
    }
    return chosen;
}

} // namespace postpaddle::decision
