// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/identifier.h>

#include <string>
#include <string_view>
#include <unordered_map>

namespace postpaddle::settings {

/// Maps callers' keys to organisations. Stores only SHA-256 hashes of the keys, so that the time of a lookup
/// reveals nothing about similar keys.
struct key_table {
    std::unordered_map<std::string, base::organisation_id>
        by_hash; ///< Empty if several organisations have the key.

    bool operator==(const key_table&) const = default;
};

/// Returns the hash by which a key is looked up.
[[nodiscard]] std::string hash_of_key(std::string_view key);

/// Adds a key. A key of several organisations is valid for none of them, as it does not identify one.
void add_key(key_table& table, const std::string& key_hash, const base::organisation_id& organisation);

/// Returns the organisation of the key with that hash, or null.
[[nodiscard]] const base::organisation_id* organisation_of(const key_table& table,
                                                           const std::string& key_hash);

} // namespace postpaddle::settings
