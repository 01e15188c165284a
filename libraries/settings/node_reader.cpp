// SPDX-License-Identifier: BSD-2-Clause
#include <settings/node_reader.h>

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <utility>

namespace postpaddle::settings {

namespace {

std::string describe(const YAML::Node& node) {
    if (!node || node.IsNull())
        return "nothing";
    if (node.IsMap())
        return "a map";
    if (node.IsSequence())
        return "a sequence";
    return "`" + node.Scalar() + "`";
}

template <class T> std::string describe(bounds<T> range) {
    return "between " + std::to_string(range.min) + " and " + std::to_string(range.max);
}

/// Whether whoever filled the file had no value for the field.
bool is_left_empty(const YAML::Node& field) {
    return !field || field.IsNull() || (field.IsScalar() && field.Scalar().empty());
}

template <class T> bool parse_number(const std::string& text, T& value) {
    const char* const end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, value);
    return error == std::errc{} && rest == end;
}

} // namespace

node_reader::node_reader(const YAML::Node& map_node, std::string file_name, std::string field_path,
                         problems& problem_list)
    : node(map_node), file_name(std::move(file_name)), field_path(std::move(field_path)),
      problem_list(&problem_list) {
    if (this->node && !this->node.IsNull() && !this->node.IsMap()) {
        problem_list.push_back(
            {this->file_name, this->node.Mark().line + 1, this->field_path, "a map", describe(this->node)});
        this->node = YAML::Node(YAML::NodeType::Map);
    }
}

YAML::Node node_reader::find(const std::string& key) {
    this->known_keys.insert(key);
    if (!this->node || !this->node.IsMap())
        return YAML::Node(YAML::NodeType::Undefined);
    const YAML::Node field = std::as_const(this->node)[key];
    return is_left_empty(field) ? YAML::Node(YAML::NodeType::Undefined) : field;
}

std::string node_reader::path_of(const std::string& key) const {
    return this->field_path.empty() ? key : this->field_path + "." + key;
}

int node_reader::line_of(const std::string& key) const {
    if (!this->node || !this->node.IsMap())
        return 0;
    const YAML::Node field = std::as_const(this->node)[key];
    return (field ? field.Mark().line : this->node.Mark().line) + 1;
}

void node_reader::add_problem(const std::string& key, std::string expected, std::string found) {
    this->problem_list->push_back(
        {this->file_name, this->line_of(key), this->path_of(key), std::move(expected), std::move(found)});
}

std::string node_reader::required_text(const std::string& key) {
    const YAML::Node field = this->find(key);
    if (!field || !field.IsScalar()) {
        this->add_problem(key, "text", describe(field));
        return {};
    }
    return field.Scalar();
}

std::string node_reader::text(const std::string& key, const std::string& default_value) {
    const YAML::Node field = this->find(key);
    if (!field)
        return default_value;
    if (!field.IsScalar()) {
        this->add_problem(key, "text", describe(field));
        return default_value;
    }
    return field.Scalar();
}

std::int64_t node_reader::integer(const std::string& key, std::int64_t default_value,
                                  bounds<std::int64_t> range) {
    const YAML::Node field = this->find(key);
    if (!field)
        return default_value;
    std::int64_t value = 0;
    if (!field.IsScalar() || !parse_number(field.Scalar(), value) || value < range.min || value > range.max) {
        this->add_problem(key, "a whole number " + describe(range), describe(field));
        return default_value;
    }
    return value;
}

double node_reader::number(const std::string& key, double default_value, bounds<double> range) {
    const YAML::Node field = this->find(key);
    if (!field)
        return default_value;
    double value = 0;
    if (!field.IsScalar() || !parse_number(field.Scalar(), value) ||
        !(value >= range.min && value <= range.max)) {
        this->add_problem(key, "a number " + describe(range), describe(field));
        return default_value;
    }
    return value;
}

bool node_reader::flag(const std::string& key, bool default_value) {
    return this->one_of(key, default_value ? "true" : "false", {"true", "false"}) == "true";
}

std::string node_reader::one_of(const std::string& key, const std::string& default_value,
                                const std::vector<std::string>& choices) {
    const YAML::Node field = this->find(key);
    if (!field)
        return default_value;
    std::string wanted = "one of";
    for (const std::string& choice : choices) {
        if (field.IsScalar() && field.Scalar() == choice)
            return choice;
        wanted += " " + choice;
    }
    this->add_problem(key, wanted, describe(field));
    return default_value;
}

std::vector<std::string> node_reader::texts(const std::string& key) {
    const YAML::Node field = this->find(key);
    std::vector<std::string> values;
    if (!field)
        return values;
    if (!field.IsSequence()) {
        this->add_problem(key, "a sequence of texts", describe(field));
        return values;
    }
    for (const auto& item : field) {
        if (item.IsScalar())
            values.push_back(item.Scalar());
        else
            this->add_problem(key, "a sequence of texts", describe(item));
    }
    return values;
}

YAML::Node node_reader::map(const std::string& key) {
    const YAML::Node field = this->find(key);
    if (!field)
        return YAML::Node(YAML::NodeType::Map);
    if (!field.IsMap()) {
        this->add_problem(key, "a map", describe(field));
        return YAML::Node(YAML::NodeType::Map);
    }
    return field;
}

node_reader node_reader::child(const std::string& key) {
    return {this->map(key), this->file_name, this->path_of(key), *this->problem_list};
}

void node_reader::check_unknown_fields() {
    if (!this->node || !this->node.IsMap())
        return;
    std::set<std::string> seen;
    for (const auto& field : this->node) {
        const std::string key = field.first.Scalar();
        if (!seen.insert(key).second)
            this->add_problem(key, "each field once", "a second one");
        if (!this->known_keys.contains(key))
            this->problem_list->push_back({this->file_name, field.first.Mark().line + 1, this->path_of(key),
                                           "no such field", "an unknown field"});
    }
}

YAML::Node load_yaml(const std::string& text, const std::string& file, problems& problem_list) {
    try {
        return YAML::Load(text);
    } catch (const YAML::Exception& error) {
        problem_list.push_back({file, error.mark.line + 1, "(document)", "YAML", error.msg});
        return YAML::Node(YAML::NodeType::Map);
    }
}

bool is_ip_and_port(std::string_view text) {
    static constexpr int max_port = 65535;
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return false;
    std::string address(text.substr(0, colon));
    if (address.front() == '[' && address.back() == ']')
        address = address.substr(1, address.size() - 2);
    int port = -1;
    if (!parse_number(std::string(text.substr(colon + 1)), port) || port < 1 || port > max_port)
        return false;
    boost::system::error_code error;
    boost::asio::ip::make_address(address, error);
    return !error;
}

} // namespace postpaddle::settings
