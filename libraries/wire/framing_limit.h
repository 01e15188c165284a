// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <cstddef>

namespace postpaddle::wire {

/// Bounds what frames a body in chunks: their sizes and extensions, and the trailer fields.
///
/// A chunk of a single byte has five bytes of framing, so no body exceeds the bound, however it is cut.
struct framing_limit {
    static constexpr std::size_t max_bytes = 64UL * 1024;
    static constexpr std::size_t max_bytes_per_body_byte = 8;

    std::size_t framing_bytes = 0; ///< After the head.
    std::size_t body_bytes = 0;

    [[nodiscard]] bool is_exceeded() const {
        return this->framing_bytes > max_bytes + max_bytes_per_body_byte * this->body_bytes;
    }

    bool operator==(const framing_limit&) const = default;
};

} // namespace postpaddle::wire
