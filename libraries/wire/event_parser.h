// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace postpaddle::wire {

/// Parses a server-sent event stream into the data of its events.
/// Source: WHATWG HTML Living Standard, section 9.2 "Server-sent events".
class event_parser {
public:
    explicit event_parser(std::size_t max_event_bytes) : max_event_bytes(max_event_bytes) {}

    /// Buffer to which the caller appends received data.
    [[nodiscard]] std::string& input() { return this->buffer; }
    /// Returns the data of the next complete event, or nullopt if more input is needed. The view is valid
    /// until the next call.
    [[nodiscard]] std::optional<std::string_view> next();
    /// Whether an incomplete event exceeds the size limit.
    [[nodiscard]] bool is_too_large() const;
    /// Whether the buffer holds an incomplete event.
    [[nodiscard]] bool has_partial_event() const { return this->position < this->buffer.size(); }

private:
    std::size_t max_event_bytes;
    std::string buffer;
    std::size_t position = 0;
};

/// Formats an event with the given data.
[[nodiscard]] std::string format_event(std::string_view data);

} // namespace postpaddle::wire
