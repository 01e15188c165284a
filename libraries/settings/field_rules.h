// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace postpaddle::settings {

/// What a field of an organisation may hold.
enum class field_kind { number, integer, flag, text, deployment, upstreams };

/// Whether a child organisation may raise the value above its parent's.
enum class field_cap { free, at_most_parent };

/// The check of one field that organisations inherit and override.
///
/// A path holding `*` is a pattern: one segment of any name stands in its place.
struct field_rule {
    std::string path;
    field_kind kind = field_kind::text;
    double least = 0;
    double most = 0;
    std::string fallback;
    field_cap cap = field_cap::free;

    [[nodiscard]] bool is_pattern() const { return this->path.find('*') != std::string::npos; }
};

/// Every field an organisation may set.
[[nodiscard]] const std::vector<field_rule>& field_rules();

/// The rule of a field path, or null where there is no such field.
[[nodiscard]] const field_rule* find_rule(std::string_view path);

/// Empty when the text fits the rule, else what was expected.
[[nodiscard]] std::string mismatch(const field_rule& rule, const std::string& text);

} // namespace postpaddle::settings
