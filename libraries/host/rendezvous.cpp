// SPDX-License-Identifier: BSD-2-Clause
#include <host/rendezvous.h>

#include <base/hashing.h>

namespace postpaddle::host {

std::optional<member> rendezvous_owner(const std::vector<member>& working, std::string_view key) {
    const member* best = nullptr;
    std::uint64_t best_score = 0;
    const std::uint64_t key_hash = base::hash64(key);
    for (const member& candidate : working) {
        const std::uint64_t score = base::hash64(candidate.name.value, key_hash);
        if (best == nullptr || score > best_score) {
            best = &candidate;
            best_score = score;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    return *best;
}

} // namespace postpaddle::host
