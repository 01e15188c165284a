// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/instance_table.h>

#include <nlohmann/json.hpp>

#include <optional>
#include <vector>

namespace postpaddle::gateway {

/// Encodes registry changes for other hosts, a row each.
[[nodiscard]] nlohmann::json encode_changes(const std::vector<decision::registry_change>& changes);

/// Decodes rows. Returns nothing if any is malformed.
[[nodiscard]] std::optional<std::vector<decision::registry_change>>
decode_changes(const nlohmann::json& value);

/// Encodes the whole registry, for transfer to another host.
[[nodiscard]] nlohmann::json encode_registry(const decision::instance_table& table);

} // namespace postpaddle::gateway
