// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace postpaddle::base {

/// Compresses to the zlib format (RFC 1950; HTTP's `deflate` coding) at the fastest level.
[[nodiscard]] std::string compress(std::string_view bytes);

/// Decompresses zlib data. Returns nullopt if the data is malformed or truncated, or if the output would
/// exceed `max_bytes`.
[[nodiscard]] std::optional<std::string> decompress(std::string_view bytes, std::size_t max_bytes);

} // namespace postpaddle::base
