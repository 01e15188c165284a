// SPDX-License-Identifier: BSD-2-Clause
#include <settings/key_table.h>

#include <base/hashing.h>

namespace postpaddle::settings {

std::string hash_of_key(std::string_view key) { return base::sha256_hex(key); }

void add_key(key_table& table, const std::string& key_hash, const base::organisation_id& organisation) {
    const auto [found, is_new] = table.by_hash.try_emplace(key_hash, organisation);
    if (!is_new && found->second != organisation)
        found->second = {};
}

const base::organisation_id* organisation_of(const key_table& table, const std::string& key_hash) {
    const auto found = table.by_hash.find(key_hash);
    return found == table.by_hash.end() || found->second.is_empty() ? nullptr : &found->second;
}

} // namespace postpaddle::settings
