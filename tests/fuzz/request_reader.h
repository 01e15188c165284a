// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <cstdint>
#include <span>
#include <string>

namespace postpaddle::fuzz {

/// What a connection made of the bytes that it read.
struct reading_result {
    int requests = 0;      ///< That were read whole.
    std::string violation; ///< Of a bound; empty if all hold.
};

/// Has a connection read bytes that arrive in parts of `part_bytes`, as many requests as they contain. The
/// bytes may be anything. Its bounds are small, and checked after each part.
[[nodiscard]] reading_result read_untrusted_bytes(std::span<const std::uint8_t> bytes,
                                                  std::size_t part_bytes);

} // namespace postpaddle::fuzz
