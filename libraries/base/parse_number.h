// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace postpaddle::base {

/// Parses a number that makes up the whole text. Returns nothing if it is malformed or out of range.
template <class Number> [[nodiscard]] std::optional<Number> parse_number(std::string_view text) {
    Number value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

} // namespace postpaddle::base
