// SPDX-License-Identifier: BSD-2-Clause
#include <decision/prefix_index.h>

namespace postpaddle::decision {

namespace {

/// Finalizer of SplitMix64.
/// Source: Steele, Lea and Flood, "Fast splittable pseudorandom number generators" (2014).
std::uint64_t mix64(std::uint64_t value) {
    value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    value = (value ^ (value >> 27U)) * 0x94D049BB133111EBULL;
    return value ^ (value >> 31U);
}

constexpr std::uint64_t engine_hash_multiplier = 0x9E3779B97F4A7C15ULL;

} // namespace

prefix_index::key prefix_index::key_of(engine_index engine, std::uint64_t prefix_hash) {
    return mix64(prefix_hash ^ (static_cast<std::uint64_t>(engine + 1) * engine_hash_multiplier));
}

void prefix_index::record(engine_index engine, const std::vector<std::uint64_t>& prefix_hashes) {
    for (const std::uint64_t hash : prefix_hashes) {
        const key entry = key_of(engine, hash);
        const auto found = this->entries.find(entry);
        if (found != this->entries.end()) {
            this->order.splice(this->order.begin(), this->order, found->second);
            continue;
        }
        this->order.push_front(entry);
        this->entries[entry] = this->order.begin();
        if (this->entries.size() > this->capacity) {
            this->entries.erase(this->order.back());
            this->order.pop_back();
        }
    }
}

void prefix_index::evict(engine_index engine, const std::vector<std::uint64_t>& prefix_hashes) {
    for (const std::uint64_t hash : prefix_hashes) {
        const auto found = this->entries.find(key_of(engine, hash));
        if (found == this->entries.end())
            continue;
        this->order.erase(found->second);
        this->entries.erase(found);
    }
}

int prefix_index::matched_blocks(engine_index engine, const std::vector<std::uint64_t>& prefix_hashes) const {
    int matched = 0;
    for (const std::uint64_t hash : prefix_hashes) {
        if (!this->entries.contains(key_of(engine, hash)))
            break;
        ++matched;
    }
    return matched;
}

engine_index rendezvous_engine(const std::vector<engine_index>& pool, std::uint64_t prefix_hash) {
    engine_index best = no_engine_index;
    std::uint64_t best_score = 0;
    for (const engine_index engine : pool) {
        const std::uint64_t score =
            mix64(prefix_hash ^ (static_cast<std::uint64_t>(engine + 1) * engine_hash_multiplier));
        if (best == no_engine_index || score > best_score) {
            best = engine;
            best_score = score;
        }
    }
    return best;
}

} // namespace postpaddle::decision
