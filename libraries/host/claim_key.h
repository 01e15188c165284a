// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>

#include <optional>
#include <string>
#include <string_view>

namespace postpaddle::host {

/// Timestamp of a version 7 UUID in milliseconds since the Unix epoch; empty if the text is not one.
/// Source: RFC 9562, section 5.7.
[[nodiscard]] std::optional<std::int64_t> uuid7_milliseconds(std::string_view text);

/// Builds a version 7 UUID from a timestamp and 74 random bits.
[[nodiscard]] std::string make_uuid7(std::int64_t milliseconds, std::uint64_t random_high,
                                     std::uint64_t random_low);

} // namespace postpaddle::host
