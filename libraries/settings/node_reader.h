// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <settings/problem.h>

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace postpaddle::settings {

/// Inclusive bounds of a numeric field.
template <class T> struct bounds {
    T min;
    T max;
};

/// Reads a YAML map field by field, and collects all problems instead of stopping at the first.
///
/// A field that is missing or left empty has its default value. So has an invalid one, which is a problem, so
/// that the remaining fields can still be checked.
class node_reader {
public:
    node_reader(const YAML::Node& map_node, std::string file_name, std::string field_path,
                problems& problem_list);

    /// Reads a mandatory, non-empty text.
    [[nodiscard]] std::string required_text(const std::string& key);
    /// Reads a text.
    [[nodiscard]] std::string text(const std::string& key, const std::string& default_value);
    /// Reads a whole number within bounds.
    [[nodiscard]] std::int64_t integer(const std::string& key, std::int64_t default_value,
                                       bounds<std::int64_t> range);
    /// Reads a number within bounds.
    [[nodiscard]] double number(const std::string& key, double default_value, bounds<double> range);
    /// Reads `true` or `false`.
    [[nodiscard]] bool flag(const std::string& key, bool default_value);
    /// Reads one of the given choices.
    [[nodiscard]] std::string one_of(const std::string& key, const std::string& default_value,
                                     const std::vector<std::string>& choices);
    /// Reads a sequence of texts; empty if absent.
    [[nodiscard]] std::vector<std::string> texts(const std::string& key);
    /// Reads a map; empty if absent.
    [[nodiscard]] YAML::Node map(const std::string& key);
    /// Returns a reader of the map at a key.
    [[nodiscard]] node_reader child(const std::string& key);
    /// Adds a problem for each duplicate field and each field that has not been read.
    void check_unknown_fields();

    /// Adds a problem with a field of this map.
    void add_problem(const std::string& key, std::string expected, std::string found);
    /// Returns the full path of a field, for messages.
    [[nodiscard]] std::string path_of(const std::string& key) const;
    /// Returns the line of a field, or of the map if the field is absent, counted from 1.
    [[nodiscard]] int line_of(const std::string& key) const;
    [[nodiscard]] const std::string& file() const { return this->file_name; }
    [[nodiscard]] problems& found_problems() { return *this->problem_list; }

private:
    [[nodiscard]] YAML::Node find(const std::string& key);

    YAML::Node node;
    std::string file_name;
    std::string field_path;
    problems* problem_list;
    std::set<std::string> known_keys;
};

/// Parses YAML text; a syntax error is added as a problem.
[[nodiscard]] YAML::Node load_yaml(const std::string& text, const std::string& file, problems& problem_list);

/// Returns whether a text is an IP address with a port, such as `127.0.0.1:80` or `[::1]:80`.
[[nodiscard]] bool is_ip_and_port(std::string_view text);

} // namespace postpaddle::settings
