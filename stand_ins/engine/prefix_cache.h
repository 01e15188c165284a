// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace postpaddle::stand_in {

/// Simulated prefix cache: hashes of fixed-size blocks of prompt text, salted and chained, with LRU eviction.
class prefix_cache {
public:
    explicit prefix_cache(std::size_t blocks) : capacity(blocks) {}

    /// Returns the number of prompt tokens found in the cache, then caches all full blocks of the prompt.
    [[nodiscard]] int lookup_and_insert(std::string_view prompt, std::string_view salt);
    /// Returns the block hashes evicted since the last call.
    [[nodiscard]] std::vector<std::uint64_t> take_evicted();

private:
    std::size_t capacity;
    std::list<std::uint64_t> recency;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> entries;
    std::vector<std::uint64_t> evicted;
};

/// Estimated number of tokens of a text.
[[nodiscard]] int count_tokens(std::string_view text);

} // namespace postpaddle::stand_in
