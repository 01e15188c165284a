// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/zone_evacuations.h>

#include <nlohmann/json.hpp>

namespace postpaddle::gateway {

/// Encodes records about availability zones: the end offset, then a row for each zone that was ever
/// evacuated: name, state, offset.
[[nodiscard]] nlohmann::json encode_zones(const decision::zone_record_page& zones);

/// Decodes the field `zones` of a message. Hosts of an earlier version send none; an implausibly long list is
/// ignored. Throws `nlohmann::json::exception` if it is malformed.
[[nodiscard]] decision::zone_record_page decode_zones(const nlohmann::json& message);

} // namespace postpaddle::gateway
