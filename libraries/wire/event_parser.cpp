// SPDX-License-Identifier: BSD-2-Clause
#include <wire/event_parser.h>

namespace postpaddle::wire {

namespace {

constexpr std::string_view event_end = "\n\n";
constexpr std::string_view data_field = "data:";

/// Returns the value of the first `data` line. Inference servers send only one for each event.
std::string_view event_data(std::string_view event) {
    const auto field = event.find(data_field);
    if (field == std::string_view::npos)
        return {};
    event.remove_prefix(field + data_field.size());
    if (event.starts_with(' '))
        event.remove_prefix(1);
    return event.substr(0, event.find('\n'));
}

} // namespace

std::optional<std::string_view> event_parser::next() {
    while (true) {
        const auto end = this->buffer.find(event_end, this->position);
        if (end == std::string::npos) {
            this->buffer.erase(0, this->position);
            this->position = 0;
            return std::nullopt;
        }
        const std::string_view event =
            std::string_view(this->buffer).substr(this->position, end - this->position);
        this->position = end + event_end.size();
        const std::string_view data = event_data(event);
        if (!data.empty())
            return data;
    }
}

bool event_parser::is_too_large() const {
    return this->buffer.size() - this->position > this->max_event_bytes;
}

std::string format_event(std::string_view data) {
    std::string text = "data: ";
    return text.append(data).append("\n\n");
}

} // namespace postpaddle::wire
