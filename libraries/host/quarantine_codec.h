// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <host/quarantine.h>

#include <nlohmann/json.hpp>

#include <vector>

/// How hosts write to each other which requests upstreams end under.
namespace postpaddle::host {

/// Age of an event in milliseconds, as messages tell it.
[[nodiscard]] std::int64_t age_of(base::time_point at, base::time_point now);

/// When an event was whose age a message tells. An age below zero counts as none.
[[nodiscard]] base::time_point time_of(std::int64_t age, base::time_point now);

/// Rows of fields without names; times are told as ages.
[[nodiscard]] nlohmann::json encode_reports(const std::vector<suspect_report>& reports, base::time_point now);

/// Reads them. Throws `nlohmann::json::exception` where they are malformed.
[[nodiscard]] std::vector<suspect_report> decode_reports(const nlohmann::json& rows, base::time_point now);

} // namespace postpaddle::host
