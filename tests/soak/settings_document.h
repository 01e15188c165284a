// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <soak/observations.h>

#include <nlohmann/json.hpp>

#include <string>

namespace postpaddle::soak {

/// Attempts that the resumable route allows.
inline constexpr int resumable_attempts = 3;
/// Callers keep a connection at rest for at most this long: under four fifths of the shortest idle time of
/// all versions.
inline constexpr milliseconds max_rest{1'500};
/// A request body of this size is within the limit of every version.
inline constexpr std::size_t allowed_body_bytes = 60'000;
/// Some versions allow a body of this size, others do not.
inline constexpr std::size_t large_body_bytes = 100'000;
/// The most that any version allows.
inline constexpr std::size_t largest_body_bytes = 262'144;

/// Path below which only that version has a route.
[[nodiscard]] std::string probe_path(int version);

struct settings_draw {
    nlohmann::json document;
    settings_version facts; ///< Without times.
};

/// Settings of that version, with timeouts, weights, gap targets, idle time and body limit drawn from
/// `draw`.
[[nodiscard]] settings_draw make_settings(int version, int draw);

} // namespace postpaddle::soak
