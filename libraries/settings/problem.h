// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <compare>
#include <string>
#include <vector>

namespace postpaddle::settings {

/// One thing wrong with a settings document.
struct problem {
    std::string file;
    int line = 0; ///< Counted from 1; 0 where no line applies.
    std::string field;
    std::string expected;
    std::string found;

    auto operator<=>(const problem&) const = default;
};

/// Everything wrong with a settings document, in document order.
using problems = std::vector<problem>;

/// `file:line: field: expected …, found …`
[[nodiscard]] std::string to_text(const problem& value);
/// One problem a line.
[[nodiscard]] std::string to_text(const problems& values);

} // namespace postpaddle::settings
