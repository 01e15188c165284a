// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <algorithm>
#include <string_view>

/// Checks of texts that somebody else wrote, before they go out again.
namespace postpaddle::base {

/// Whether an ASCII character is a control character, which ends lines, fields or messages for some readers.
[[nodiscard]] constexpr bool is_control_character(char character) {
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char deletion = 0x7f;
    const auto code = static_cast<unsigned char>(character);
    return code < first_printable || code == deletion;
}

[[nodiscard]] constexpr bool has_control_character(std::string_view text) {
    return std::ranges::any_of(text, is_control_character);
}

/// Whether a text is UTF-8 (RFC 3629) without control characters.
[[nodiscard]] bool is_plain_text(std::string_view text);

/// Whether a text is non-empty printable ASCII without blanks, and so fits into a header field as it stands.
[[nodiscard]] constexpr bool is_visible_ascii(std::string_view text) {
    return !text.empty() &&
           std::ranges::all_of(text, [](char character) { return character > ' ' && character <= '~'; });
}

} // namespace postpaddle::base
