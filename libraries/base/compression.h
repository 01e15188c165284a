// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace postpaddle::base {

/// The bytes in the zlib format (RFC 1950), which HTTP calls `deflate`. Fast rather than small: settings of
/// many routes shrink to less than a fifth even so, as their routes are alike.
[[nodiscard]] std::string compress(std::string_view bytes);

/// What was compressed; nothing where the bytes are malformed, cut short, or more than `most_bytes`.
[[nodiscard]] std::optional<std::string> decompress(std::string_view bytes, std::size_t most_bytes);

} // namespace postpaddle::base
