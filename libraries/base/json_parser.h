// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Parsing of JSON and MessagePack that somebody else wrote.
///
/// Reading MessagePack, and copying, comparing and writing any value, take stack in proportion to its
/// nesting, and coroutines have small stacks. So what is nested too deep is malformed.
namespace postpaddle::base {

/// Levels of nested arrays and objects that are accepted. Callers' requests nest deepest, with schemas of
/// tools.
inline constexpr std::size_t max_json_depth = 128;

/// Parses JSON. Returns a discarded value if it is malformed, with which every access fails.
[[nodiscard]] nlohmann::json parse_json(std::string_view text);

/// The same, but with U+FFFD in place of what is no Unicode: of surrogates without a partner and of bytes
/// that are no UTF-8. For lists whose items somebody else named, so that one name doesn't cost the whole
/// list.
[[nodiscard]] nlohmann::json parse_json_replacing(std::string_view text);

/// What stands for a character that can't be read (U+FFFD), in UTF-8.
inline constexpr std::string_view replacement_character = "\xEF\xBF\xBD";

/// Writes a value that may hold somebody else's texts: U+FFFD stands for bytes that are no UTF-8, on which
/// the library's own function fails.
[[nodiscard]] std::string write_json(const nlohmann::json& value);

/// Parses MessagePack likewise.
[[nodiscard]] nlohmann::json parse_msgpack(std::string_view bytes);
[[nodiscard]] nlohmann::json parse_msgpack(const std::vector<std::uint8_t>& bytes);

} // namespace postpaddle::base
