// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <host/quarantine.h>

#include <nlohmann/json.hpp>

#include <vector>

/// JSON encoding of suspect reports exchanged between hosts.
namespace postpaddle::host {

/// Age of an event in milliseconds, as sent in messages.
[[nodiscard]] std::int64_t age_of(base::time_point at, base::time_point now);

/// Time of an event from its age in a message. Negative ages count as zero.
[[nodiscard]] base::time_point time_of(std::int64_t age, base::time_point now);

/// Encodes reports as arrays without field names. Times are encoded as ages.
[[nodiscard]] nlohmann::json encode_reports(const std::vector<suspect_report>& reports, base::time_point now);

/// Decodes reports. Throws `nlohmann::json::exception` if they are malformed.
[[nodiscard]] std::vector<suspect_report> decode_reports(const nlohmann::json& rows, base::time_point now);

} // namespace postpaddle::host
