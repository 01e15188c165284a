// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace postpaddle::wire {

/// Complete event of a stream, byte for byte as the upstream sent it.
struct raw_event {
    std::string_view text; ///< Includes the final blank line. Valid until the next call of `next`.
    std::optional<std::uint64_t> id;
};

/// Splits a server-sent event stream into complete events without changing them.
/// Source: WHATWG HTML Living Standard, section 9.2 "Server-sent events".
class event_splitter {
public:
    explicit event_splitter(std::size_t max_event_bytes) : max_event_bytes(max_event_bytes) {}

    /// Buffer to which the caller appends received data.
    [[nodiscard]] std::string& input() { return this->buffer; }
    /// Returns the next complete event, or nullopt if more input is needed.
    [[nodiscard]] std::optional<raw_event> next();
    /// Whether the buffer holds an incomplete event.
    [[nodiscard]] bool has_partial_event() const { return this->position < this->buffer.size(); }
    /// Whether an incomplete event exceeds the size limit.
    [[nodiscard]] bool is_too_large() const {
        return this->buffer.size() - this->position > this->max_event_bytes;
    }

private:
    std::size_t max_event_bytes;
    std::string buffer;
    std::size_t position = 0;
    std::size_t searched =
        0; ///< Relative to `position`: the end of the event's last line is not before this.
};

} // namespace postpaddle::wire
