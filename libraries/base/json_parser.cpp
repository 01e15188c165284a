// SPDX-License-Identifier: BSD-2-Clause
#include <base/json_parser.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace postpaddle::base {

namespace {

using nlohmann::json;

/// Builds a value from the parser's events, and stops it where the value is nested too deep.
class value_builder {
public:
    bool null() { return this->add(nullptr); }
    bool boolean(bool value) { return this->add(value); }
    bool number_integer(json::number_integer_t value) { return this->add(value); }
    bool number_unsigned(json::number_unsigned_t value) { return this->add(value); }
    bool number_float(json::number_float_t value, const std::string& /*text*/) { return this->add(value); }
    bool string(std::string& value) { return this->add(std::move(value)); }
    bool binary(json::binary_t& value) { return this->add(std::move(value)); }
    bool start_object(std::size_t /*size*/) { return this->open(json::object()); }
    bool start_array(std::size_t /*size*/) { return this->open(json::array()); }
    bool end_object() { return this->close(); }
    bool end_array() { return this->close(); }
    bool key(std::string& name) {
        this->next_key = std::move(name);
        return true;
    }
    bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                     const nlohmann::detail::exception& /*error*/) {
        return false;
    }

    [[nodiscard]] json take() { return std::move(this->root); }

private:
    /// Adds a value to the innermost container and returns where it is.
    json& place(json value) {
        if (this->open_containers.empty())
            return this->root = std::move(value);
        json& container = *this->open_containers.back();
        json& added = container.is_array() ? container.emplace_back() : container[this->next_key];
        return added = std::move(value);
    }

    bool add(json value) {
        this->place(std::move(value));
        return true;
    }

    bool open(json container) {
        if (this->open_containers.size() == max_json_depth)
            return false;
        this->open_containers.push_back(&this->place(std::move(container)));
        return true;
    }

    bool close() {
        this->open_containers.pop_back();
        return true;
    }

    json root;
    std::vector<json*> open_containers; ///< Outermost first. Only the innermost one grows, so none is moved.
    std::string next_key;
};

constexpr std::size_t escape_length = 6; ///< Of `\u` and four digits.
constexpr std::string_view escaped_replacement = "\\ufffd";
constexpr unsigned first_high_surrogate = 0xD800;
constexpr unsigned first_low_surrogate = 0xDC00;
constexpr unsigned last_low_surrogate = 0xDFFF;

/// The UTF-16 code unit of an escape such as `\u00e9` at the beginning of the text; nothing if there is none.
std::optional<unsigned> escaped_unit(std::string_view text) {
    if (text.size() < escape_length || !text.starts_with("\\u"))
        return std::nullopt;
    unsigned unit = 0;
    const char* const end = text.data() + escape_length;
    const auto parsed = std::from_chars(text.data() + 2, end, unit, 16);
    return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(unit) : std::nullopt;
}

bool is_between(std::optional<unsigned> unit, unsigned first, unsigned last) {
    return unit && *unit >= first && *unit <= last;
}

/// Length of the escape at the beginning of the text, with its partner if it is a pair of surrogates.
std::size_t length_of_escape(std::string_view text) {
    const auto unit = escaped_unit(text);
    if (!unit)
        return std::min<std::size_t>(2, text.size());
    const bool is_pair =
        is_between(unit, first_high_surrogate, first_low_surrogate - 1) &&
        is_between(escaped_unit(text.substr(escape_length)), first_low_surrogate, last_low_surrogate);
    return is_pair ? 2 * escape_length : escape_length;
}

/// The JSON text with U+FFFD in place of escaped surrogates that have no partner.
std::string replace_lone_surrogates(std::string_view text) {
    std::string replaced;
    while (!text.empty()) {
        const auto plain = std::min(text.find('\\'), text.size());
        replaced += text.substr(0, plain);
        text.remove_prefix(plain);
        const std::size_t length = length_of_escape(text);
        const bool is_lone = length == escape_length &&
                             is_between(escaped_unit(text), first_high_surrogate, last_low_surrogate);
        replaced += is_lone ? escaped_replacement : text.substr(0, length);
        text.remove_prefix(length);
    }
    return replaced;
}

/// The text with U+FFFD in place of bytes that are no UTF-8.
std::string replace_ill_formed(std::string_view text) {
    return json::parse(write_json(text)).get<std::string>();
}

json parse(std::string_view bytes, json::input_format_t format) {
    value_builder builder;
    if (!json::sax_parse(bytes, &builder, format))
        return json(json::value_t::discarded);
    return builder.take();
}

} // namespace

json parse_json(std::string_view text) { return parse(text, json::input_format_t::json); }

json parse_json_replacing(std::string_view text) {
    json value = parse_json(text);
    if (!value.is_discarded())
        return value;
    return parse_json(replace_lone_surrogates(replace_ill_formed(text)));
}

std::string write_json(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json parse_msgpack(std::string_view bytes) { return parse(bytes, json::input_format_t::msgpack); }

json parse_msgpack(const std::vector<std::uint8_t>& bytes) {
    return parse_msgpack({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
}

} // namespace postpaddle::base
