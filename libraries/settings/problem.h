// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <compare>
#include <string>
#include <vector>

namespace postpaddle::settings {

/// A validation error in a settings document.
struct problem {
    std::string file;
    int line = 0; ///< Counted from 1; 0 if no line applies.
    std::string field;
    std::string expected;
    std::string found;

    auto operator<=>(const problem&) const = default;
};

/// Validation errors of a settings document.
using problems = std::vector<problem>;

/// Formats a problem as `file:line: field: expected …, found …`.
[[nodiscard]] std::string to_text(const problem& value);
/// Formats one problem per line.
[[nodiscard]] std::string to_text(const problems& values);

} // namespace postpaddle::settings
