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

/// Command-line options that the commands share.
struct command_options {
    std::string log_address;
    std::string host_address; ///< Operators' address of any host.
    std::string token;
    std::string assignment; ///< `PATH=VALUE` of `publish --set`.
    std::string file;       ///< Document that `show` reads instead of the published one.
    std::string author;
    unsigned long base_revision = 0; ///< Revision that a change is based on; 0 for the newest.
};

/// Validates a document and prints every error.
int run_validate(const std::vector<std::string>& arguments);
/// Publishes a document or one assignment. With a host address, waits until every alive host has it in force.
int run_publish(const std::vector<std::string>& arguments, const command_options& options);
/// Prints an organisation's effective settings and the level of the tree that each comes from.
int run_show(const std::vector<std::string>& arguments, const command_options& options);
/// Prints the settings revision that each host has in force.
int run_status(const command_options& options);
/// Prints a host's state dump.
int run_dump(const command_options& options);
/// Prints a gateway host's state as a table, or the explanation of one request from the host that served it.
int run_gateway(const std::vector<std::string>& arguments, const command_options& options);
/// Prints the requests that wait at a gateway host, for one service or for all.
int run_waiting(const std::vector<std::string>& arguments, const command_options& options);
/// Prints the explanation of a request's routing.
int run_explain(const std::vector<std::string>& arguments, const command_options& options);

} // namespace postpaddle::utility
