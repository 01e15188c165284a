// SPDX-License-Identifier: BSD-2-Clause
// postpaddle: the operators' command line.

#include <postpaddle/commands.h>

#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>

DEFINE_string(log, "", "address of the platform's log, IP:PORT");
DEFINE_string(host, "", "operators' address of any host, IP:PORT");
DEFINE_string(token, "", "operators' token; POSTPADDLE_TOKEN from the environment where empty");
DEFINE_string(set, "", "publish: one PATH=VALUE, the path's segments joined by /");
DEFINE_string(file, "", "show: a document instead of what is published");
DEFINE_string(author, "", "publish: who makes the change; USER from the environment where empty");
DEFINE_uint64(base, 0, "publish: revision that the change is based on; 0 for the newest");

namespace {

std::string value_or_environment(const std::string& value, const char* name) {
    if (!value.empty())
        return value;
    const char* const variable = std::getenv(name); // NOLINT(concurrency-mt-unsafe): one thread.
    return variable == nullptr ? "" : variable;
}

int report_missing_flag(const std::string& command, const char* flag) {
    std::cerr << "postpaddle: " << command << " needs --" << flag << "; see --help\n";
    return postpaddle::utility::exit_bad_usage;
}

} // namespace

int main(int argc, char** argv) {
    using namespace postpaddle::utility;
    gflags::SetUsageMessage(
        "drives postpaddle\n\n"
        "  postpaddle validate FILE                       check an operators' document\n"
        "  postpaddle publish FILE --log=A [--host=A]     publish it, wait until it is in force\n"
        "  postpaddle publish --set=PATH=VALUE --log=A    publish one change\n"
        "  postpaddle show PATH (--log=A | --file=FILE)   effective settings and where they come from\n"
        "  postpaddle status --host=A                     hosts and what each has in force\n"
        "  postpaddle dump --host=A                       a host's whole state\n"
        "  postpaddle explain REQUEST-ID --host=A         why a request went where it went\n"
        "  postpaddle gateway [REQUEST-ID] --host=A       a gateway host's state, or one request's story\n"
        "  postpaddle waiting [SERVICE] --host=A          requests that wait at a gateway host, and why\n\n"
        "Exit codes: 0 done, 1 failed, 2 bad usage, 3 bad settings, 4 the change was rejected.");
    gflags::SetVersionString(POSTPADDLE_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.empty()) {
        std::cerr << "postpaddle: a command is needed; see --help\n";
        return exit_bad_usage;
    }
    const std::string& command = arguments[0];
    const std::vector<std::string> command_arguments(arguments.begin() + 1, arguments.end());
    command_options options;
    options.log_address = FLAGS_log;
    options.host_address = FLAGS_host;
    options.token = value_or_environment(FLAGS_token, "POSTPADDLE_TOKEN");
    options.author = value_or_environment(FLAGS_author, "USER");
    options.assignment = FLAGS_set;
    options.file = FLAGS_file;
    options.base_revision = FLAGS_base;
    if (command == "validate")
        return run_validate(command_arguments);
    if (command == "publish")
        return FLAGS_log.empty() ? report_missing_flag(command, "log")
                                 : run_publish(command_arguments, options);
    if (command == "show")
        return FLAGS_log.empty() && FLAGS_file.empty() ? report_missing_flag(command, "log or --file")
                                                       : run_show(command_arguments, options);
    const bool requires_host = command == "status" || command == "dump" || command == "explain" ||
                               command == "gateway" || command == "waiting";
    if (requires_host && FLAGS_host.empty())
        return report_missing_flag(command, "host");
    if (command == "status")
        return run_status(options);
    if (command == "dump")
        return run_dump(options);
    if (command == "gateway")
        return run_gateway(command_arguments, options);
    if (command == "waiting")
        return run_waiting(command_arguments, options);
    if (command == "explain")
        return run_explain(command_arguments, options);
    std::cerr << "postpaddle: no command `" << command << "`; see --help\n";
    return exit_bad_usage;
}
