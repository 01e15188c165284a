// SPDX-License-Identifier: BSD-2-Clause
#include <soak/event_text.h>

#include <charconv>

namespace postpaddle::soak {

std::vector<stream_event> parse_events(std::string_view text) {
    static constexpr std::string_view id_field = "id: ";
    static constexpr std::string_view event_end = "\n\n";
    std::vector<stream_event> events;
    for (auto end = text.find(event_end); end != std::string_view::npos; end = text.find(event_end)) {
        std::string_view event = text.substr(0, end);
        text.remove_prefix(end + event_end.size());
        if (!event.starts_with(id_field))
            break;
        event.remove_prefix(id_field.size());
        stream_event row;
        if (std::from_chars(event.data(), event.data() + event.size(), row.id).ec != std::errc{})
            break;
        const auto at = event.rfind('@');
        if (at != std::string_view::npos)
            row.version = event.substr(at + 1);
        events.push_back(std::move(row));
    }
    return events;
}

} // namespace postpaddle::soak
