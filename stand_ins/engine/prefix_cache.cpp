// SPDX-License-Identifier: BSD-2-Clause
#include <engine/prefix_cache.h>

#include <base/hashing.h>

#include <utility>

namespace postpaddle::stand_in {

namespace {

constexpr std::size_t block_bytes = 512;
constexpr std::size_t bytes_a_token = 4;

} // namespace

int prefix_cache::use(std::string_view prompt, std::string_view salt) {
    std::uint64_t chain = base::hash64(salt);
    int cached_blocks = 0;
    bool is_prefix = true;
    for (std::size_t start = 0; start + block_bytes <= prompt.size(); start += block_bytes) {
        chain = base::hash64(prompt.substr(start, block_bytes), chain);
        const auto found = this->entries.find(chain);
        is_prefix = is_prefix && found != this->entries.end();
        if (is_prefix)
            ++cached_blocks;
        if (found != this->entries.end()) {
            this->order.splice(this->order.begin(), this->order, found->second);
            continue;
        }
        this->order.push_front(chain);
        this->entries[chain] = this->order.begin();
        if (this->entries.size() > this->capacity) {
            this->dropped.push_back(this->order.back());
            this->entries.erase(this->order.back());
            this->order.pop_back();
        }
    }
    return static_cast<int>(static_cast<std::size_t>(cached_blocks) * block_bytes / bytes_a_token);
}

std::vector<std::uint64_t> prefix_cache::take_dropped() { return std::exchange(this->dropped, {}); }

int count_tokens(std::string_view text) { return static_cast<int>(text.size() / bytes_a_token + 1); }

} // namespace postpaddle::stand_in
