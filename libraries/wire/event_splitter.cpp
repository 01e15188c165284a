// SPDX-License-Identifier: BSD-2-Clause
#include <wire/event_splitter.h>

#include <algorithm>
#include <charconv>

namespace postpaddle::wire {

namespace {

constexpr std::string_view blank_line = "\n";
constexpr std::string_view blank_line_crlf = "\r\n";
constexpr std::string_view id_field = "id:";

/// Returns the position after the first blank line that follows a line whose end is at `from` or later, or
/// `npos`.
std::size_t find_event_end(std::string_view bytes, std::size_t from) {
    for (auto line_end = bytes.find('\n', from); line_end != std::string_view::npos;
         line_end = bytes.find('\n', line_end + 1)) {
        const std::string_view rest = bytes.substr(line_end + 1);
        if (rest.starts_with(blank_line))
            return line_end + 1 + blank_line.size();
        const bool is_crlf = line_end > 0 && bytes[line_end - 1] == '\r';
        if (is_crlf && rest.starts_with(blank_line_crlf))
            return line_end + 1 + blank_line_crlf.size();
    }
    return std::string_view::npos;
}

std::optional<std::uint64_t> parse_event_id(std::string_view event) {
    while (!event.empty()) {
        const auto line_end = event.find('\n');
        std::string_view line = event.substr(0, line_end);
        event.remove_prefix(line_end == std::string_view::npos ? event.size() : line_end + 1);
        if (!line.starts_with(id_field))
            continue;
        line.remove_prefix(id_field.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        std::uint64_t id = 0;
        const auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), id);
        if (error == std::errc{})
            return id;
    }
    return std::nullopt;
}

} // namespace

std::optional<raw_event> event_splitter::next() {
    const std::string_view remaining = std::string_view(this->buffer).substr(this->position);
    const auto end = find_event_end(remaining, this->searched);
    if (end == std::string_view::npos) {
        // The last line may have ended without the blank line that follows it.
        this->searched = remaining.size() - std::min(remaining.size(), blank_line_crlf.size());
        this->buffer.erase(0, this->position);
        this->position = 0;
        return std::nullopt;
    }
    this->searched = 0;
    this->position += end;
    const std::string_view text = remaining.substr(0, end);
    return raw_event{text, parse_event_id(text)};
}

} // namespace postpaddle::wire
