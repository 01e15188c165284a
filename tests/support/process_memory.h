// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <cstddef>
#include <fstream>
#include <string>
#include <string_view>

#include <sys/types.h>

namespace postpaddle::test {

/// Most memory that a process has had resident so far, in bytes; 0 if it has ended. Source: /proc/PID/status.
inline std::size_t peak_memory_bytes(pid_t pid) {
    static constexpr std::string_view field = "VmHWM:";
    static constexpr std::size_t bytes_per_kilobyte = 1'024;
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(file, line);)
        if (line.starts_with(field))
            return std::stoull(line.substr(field.size())) * bytes_per_kilobyte;
    return 0;
}

} // namespace postpaddle::test
