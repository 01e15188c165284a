// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <string>
#include <vector>

namespace postpaddle::utility {

/// Exit codes of the command line.
inline constexpr int exit_ok = 0;
inline constexpr int exit_failed = 1;
inline constexpr int exit_bad_usage = 2;
inline constexpr int exit_bad_settings = 3;
inline constexpr int exit_rejected = 4;

/// Where the command finds the log and a host.
struct command_options {
    std::string log_address;
    std::string host_address; ///< Operators' address of any host.
    std::string token;
    std::string assignment; ///< `PATH=VALUE` of `publish --set`.
    std::string file;       ///< Document to show instead of what is published.
    std::string author;
    unsigned long base_revision = 0;
};

/// Checks a document and names every problem.
int run_validate(const std::vector<std::string>& words);
/// Publishes a document or one assignment and waits until every host has it in force.
int run_publish(const std::vector<std::string>& words, const command_options& options);
/// Prints an organisation's effective values and the level each came from.
int run_show(const std::vector<std::string>& words, const command_options& options);
/// Prints which host has what in force.
int run_status(const command_options& options);
/// Prints a host's whole state.
int run_dump(const command_options& options);
/// Prints a gateway host's state as a table, or the story of one request from the host that took it.
int run_gateway(const std::vector<std::string>& words, const command_options& options);
/// Prints why a request went where it went.
int run_explain(const std::vector<std::string>& words, const command_options& options);

} // namespace postpaddle::utility
