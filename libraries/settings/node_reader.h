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

/// Inclusive bounds of a number.
template <class T> struct bounds {
    T least;
    T most;
};

/// Reads one YAML map field by field and notes every problem instead of stopping at the first.
///
/// A missing or wrong field reads as its fallback, so that the rest can still be checked.
class node_reader {
public:
    node_reader(const YAML::Node& map_node, std::string file_name, std::string field_path,
                problems& problem_list);

    /// Text of a field that must be there.
    [[nodiscard]] std::string required_text(const std::string& key);
    /// Text of a field, or the fallback where it is absent.
    [[nodiscard]] std::string text(const std::string& key, const std::string& fallback);
    /// Whole number within bounds.
    [[nodiscard]] std::int64_t integer(const std::string& key, std::int64_t fallback,
                                       bounds<std::int64_t> range);
    /// Real number within bounds.
    [[nodiscard]] double number(const std::string& key, double fallback, bounds<double> range);
    /// `true` or `false`.
    [[nodiscard]] bool flag(const std::string& key, bool fallback);
    /// One of the given words.
    [[nodiscard]] std::string word(const std::string& key, const std::string& fallback,
                                   const std::vector<std::string>& choices);
    /// Sequence of texts; empty where absent.
    [[nodiscard]] std::vector<std::string> texts(const std::string& key);
    /// The map below a key; an empty map where absent.
    [[nodiscard]] YAML::Node map(const std::string& key);
    /// A reader of the map below a key.
    [[nodiscard]] node_reader child(const std::string& key);
    /// Notes each field that nobody asked for.
    void finish();

    /// Notes a problem at a field of this map.
    void note(const std::string& key, std::string expected, std::string found);
    /// Full path of a field, for messages.
    [[nodiscard]] std::string path_of(const std::string& key) const;
    /// Line of a field or of the map itself, counted from 1.
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

/// Parses YAML text; a syntax error becomes a problem.
[[nodiscard]] YAML::Node load_yaml(const std::string& text, const std::string& file, problems& problem_list);

/// Address of an IP number and port, `127.0.0.1:80` or `[::1]:80`.
[[nodiscard]] bool is_ip_and_port(std::string_view text);

} // namespace postpaddle::settings
