// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <fstream>
#include <string>

#include <sys/types.h>

namespace postpaddle::test {

/// Whether a child process has ended and waits to be reaped. Source: proc(5), state `Z`.
inline bool has_ended(pid_t pid) {
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string line;
    std::getline(file, line);
    const auto name_end = line.rfind(')');
    return name_end == std::string::npos || line.at(name_end + 2) == 'Z';
}

} // namespace postpaddle::test
