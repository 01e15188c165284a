// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace postpaddle::stand_in {

/// A process of the test's or bench's own. Killed when this goes, if it still runs.
class child_process {
public:
    /// Starts a program; its standard error goes to `log_path`. Throws where that fails.
    child_process(const std::string& program, const std::vector<std::string>& arguments,
                  const std::string& log_path);
    child_process(const child_process&) = delete;
    child_process(child_process&& other) noexcept;
    child_process& operator=(const child_process&) = delete;
    child_process& operator=(child_process&&) = delete;
    ~child_process();

    /// The next line of its standard output; empty at its end.
    [[nodiscard]] std::string read_line();
    /// The next line as JSON.
    [[nodiscard]] nlohmann::json read_json();
    /// All that is left of its standard output.
    [[nodiscard]] std::string read_rest();
    void send_signal(int signal) const;
    /// Waits for its end: exit code, or the negative number of the signal that ended it.
    int wait();
    [[nodiscard]] pid_t id() const { return this->pid; }
    [[nodiscard]] bool is_running() const { return this->pid > 0; }

private:
    pid_t pid = -1;
    int output = -1;
    std::string buffer;
};

/// Processor seconds and resident bytes of a process, from /proc.
struct process_use {
    double processor_seconds = 0; ///< All.
    double system_seconds = 0;    ///< Of these, in the kernel.
    std::size_t resident_bytes = 0;
};
[[nodiscard]] process_use use_of(pid_t pid);

} // namespace postpaddle::stand_in
