// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace postpaddle::stand_in {

/// A child process with a pipe on its standard output. The destructor kills it if it still runs.
class child_process {
public:
    /// Starts a program and appends its standard error to the file `log_path`. Throws std::runtime_error on
    /// failure.
    child_process(const std::string& program, const std::vector<std::string>& arguments,
                  const std::string& log_path);
    child_process(const child_process&) = delete;
    child_process(child_process&& other) noexcept;
    child_process& operator=(const child_process&) = delete;
    child_process& operator=(child_process&&) = delete;
    ~child_process();

    /// Reads the next line of standard output, without its newline; empty at end of file.
    [[nodiscard]] std::string read_line();
    /// Reads the next line of standard output as JSON.
    [[nodiscard]] nlohmann::json read_json();
    /// Reads standard output until end of file.
    [[nodiscard]] std::string read_to_end();
    void send_signal(int signal) const;
    /// Waits for the process to exit. Returns its exit code, or the negated number of the signal that ended
    /// it.
    int wait();
    [[nodiscard]] pid_t id() const { return this->pid; }
    /// Whether the process was started and has not been waited for.
    [[nodiscard]] bool is_running() const { return this->pid > 0; }

private:
    pid_t pid = -1;
    int output_descriptor = -1;
    std::string buffer;
};

/// CPU time and memory of a process. Source: /proc/PID/stat.
struct process_usage {
    double cpu_seconds = 0;    ///< In user and kernel mode.
    double system_seconds = 0; ///< In kernel mode.
    std::size_t resident_bytes = 0;
};
[[nodiscard]] process_usage read_process_usage(pid_t pid);

} // namespace postpaddle::stand_in
