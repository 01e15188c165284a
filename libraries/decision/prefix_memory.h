// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/engine_state.h>

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace postpaddle::decision {

/// Remembers, least recently used first out, which engine has most lately worked on which prefix.
///
/// Hashes are salted by organisation and model, so no organisation's prefix is ever found for another.
class prefix_memory {
public:
    explicit prefix_memory(std::size_t capacity) : capacity(capacity) {}

    /// Notes that an engine now has these prefixes, shortest first.
    void remember(engine_index engine, const std::vector<std::uint64_t>& prefix_hashes);
    /// Forgets prefixes that an engine has dropped.
    void forget(engine_index engine, const std::vector<std::uint64_t>& prefix_hashes);
    /// How many of the growing prefixes the engine is thought to have.
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

/// Engine of a pool that a prefix belongs to by rendezvous hash: the same on every host, and moved
/// only for the prefixes of an engine that goes.
/// Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (1998).
[[nodiscard]] engine_index rendezvous_engine(const std::vector<engine_index>& pool,
                                             std::uint64_t prefix_hash);

} // namespace postpaddle::decision
