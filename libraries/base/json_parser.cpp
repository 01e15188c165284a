// SPDX-License-Identifier: BSD-2-Clause
#include <base/json_parser.h>

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

json parse(std::string_view bytes, json::input_format_t format) {
    value_builder builder;
    if (!json::sax_parse(bytes, &builder, format))
        return json(json::value_t::discarded);
    return builder.take();
}

} // namespace

json parse_json(std::string_view text) { return parse(text, json::input_format_t::json); }

json parse_msgpack(std::string_view bytes) { return parse(bytes, json::input_format_t::msgpack); }

json parse_msgpack(const std::vector<std::uint8_t>& bytes) {
    return parse_msgpack({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
}

} // namespace postpaddle::base
