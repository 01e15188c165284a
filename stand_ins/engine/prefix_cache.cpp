// SPDX-License-Identifier: BSD-2-Clause
#include <engine/prefix_cache.h>

#include <base/hashing.h>

#include <utility>

namespace postpaddle::stand_in {

namespace {

constexpr std::size_t block_bytes = 512;
constexpr std::size_t bytes_per_token = 4;

} // namespace

int prefix_cache::lookup_and_insert(std::string_view prompt, std::string_view salt) {
    std::uint64_t block_hash = base::hash64(salt);
    int cached_blocks = 0;
    bool is_prefix = true;
    for (std::size_t start = 0; start + block_bytes <= prompt.size(); start += block_bytes) {
        block_hash = base::hash64(prompt.substr(start, block_bytes), block_hash);
        const auto found = this->entries.find(block_hash);
        is_prefix = is_prefix && found != this->entries.end();
        if (is_prefix)
            ++cached_blocks;
        if (found != this->entries.end()) {
            this->recency.splice(this->recency.begin(), this->recency, found->second);
            continue;
        }
        this->recency.push_front(block_hash);
        this->entries[block_hash] = this->recency.begin();
        if (this->entries.size() > this->capacity) {
            this->evicted.push_back(this->recency.back());
            this->entries.erase(this->recency.back());
            this->recency.pop_back();
        }
    }
    return static_cast<int>(static_cast<std::size_t>(cached_blocks) * block_bytes / bytes_per_token);
}

std::vector<std::uint64_t> prefix_cache::take_evicted() { return std::exchange(this->evicted, {}); }

int count_tokens(std::string_view text) { return static_cast<int>(text.size() / bytes_per_token + 1); }

} // namespace postpaddle::stand_in
