// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/instance_table.h>

#include <nlohmann/json.hpp>

#include <vector>

namespace postpaddle::gateway {

/// The registry as one host hands it to another.
[[nodiscard]] nlohmann::json encode_registry(const decision::instance_table& table);

/// Reads a registry that another host handed over. Throws `nlohmann::json::exception` where it is malformed.
[[nodiscard]] std::vector<decision::registry_change> decode_registry(const nlohmann::json& value);

} // namespace postpaddle::gateway
