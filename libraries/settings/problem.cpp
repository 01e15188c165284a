// SPDX-License-Identifier: BSD-2-Clause
#include <settings/problem.h>

namespace postpaddle::settings {

std::string to_text(const problem& value) {
    return value.file + ":" + std::to_string(value.line) + ": " + value.field + ": expected " +
           value.expected + ", found " + value.found;
}

std::string to_text(const problems& values) {
    std::string text;
    for (const problem& value : values)
        text += to_text(value) + "\n";
    return text;
}

} // namespace postpaddle::settings
