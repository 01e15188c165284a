// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/engine_state.h>

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace postpaddle::decision {

/// LRU index of the prefixes that each engine recently processed.
///
/// Hashes are salted by organisation and model, so organisations never match each other's prefixes.
class prefix_index {
public:
    explicit prefix_index(std::size_t capacity) : capacity(capacity) {}

    /// Records that an engine has these prefixes, shortest first.
    void record(engine_index engine, const std::vector<std::uint64_t>& prefix_hashes);
    /// Removes prefixes that an engine has evicted.
    void evict(engine_index engine, const std::vector<std::uint64_t>& prefix_hashes);
    /// Number of leading prefix blocks that the engine is expected to have cached.
    [[nodiscard]] int matched_blocks(engine_index engine,
                                     const std::vector<std::uint64_t>& prefix_hashes) const;
    [[nodiscard]] std::size_t size() const { return this->entries.size(); }

private:
    using key = std::uint64_t;
    [[nodiscard]] static key key_of(engine_index engine, std::uint64_t prefix_hash);

    std::size_t capacity;
    std::list<key> order; ///< Most recently used first.
    std::unordered_map<key, std::list<key>::iterator> entries;
};

/// Engine that a prefix maps to by rendezvous hashing. All hosts agree on it, and removing an engine remaps
/// only that engine's prefixes.
/// Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (1998).
[[nodiscard]] engine_index rendezvous_engine(const std::vector<engine_index>& pool,
                                             std::uint64_t prefix_hash);

} // namespace postpaddle::decision
