// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace postpaddle::base {

/// 64-bit XXH3 hash. Not cryptographically secure.
[[nodiscard]] std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/// SHA-256 digest in lower-case hexadecimal. API keys are stored only in this form.
[[nodiscard]] std::string sha256_hex(std::string_view bytes);

} // namespace postpaddle::base
