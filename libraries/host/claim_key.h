// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>

#include <optional>
#include <string>
#include <string_view>

namespace postpaddle::host {

/// Time that a version 7 UUID carries, in milliseconds since 1970; empty where the text is none.
/// Source: RFC 9562, section 5.7.
[[nodiscard]] std::optional<std::int64_t> uuid7_milliseconds(std::string_view text);

/// A version 7 UUID of a time and 74 random bits.
[[nodiscard]] std::string make_uuid7(std::int64_t milliseconds, std::uint64_t random_high,
                                     std::uint64_t random_low);

} // namespace postpaddle::host
