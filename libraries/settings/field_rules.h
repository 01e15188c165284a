// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace postpaddle::settings {

/// Type of an organisation's settings field.
enum class field_kind { number, integer, flag, text, deployment, upstreams };

/// Whether a child organisation may exceed its parent's value.
enum class field_cap { free, at_most_parent };

/// Validation rule of a settings field that organisations inherit and override.
///
/// A path with `*` is a pattern, in which `*` stands for a name.
struct field_rule {
    std::string path;
    field_kind kind = field_kind::text;
    double min = 0;
    double max = 0;
    std::string default_value;
    field_cap cap = field_cap::free;

    [[nodiscard]] bool is_pattern() const { return this->path.find('*') != std::string::npos; }
};

/// Returns the rules of all fields that an organisation may set.
[[nodiscard]] const std::vector<field_rule>& field_rules();

/// Returns the rule of a field path, or null if there is no such field.
[[nodiscard]] const field_rule* find_rule(std::string_view path);

/// Returns a description of what the rule expects; empty if the text conforms to it.
[[nodiscard]] std::string mismatch(const field_rule& rule, const std::string& text);

} // namespace postpaddle::settings
