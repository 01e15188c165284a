// SPDX-License-Identifier: BSD-2-Clause
// postpaddled: the process of an entry host.

#include <service/entry_host.h>
#include <service/log.h>

#include <base/clock.h>
#include <settings/process_settings.h>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(settings, "", "YAML file with this process's settings");
DEFINE_bool(check, false, "check the settings file and end");

namespace {

constexpr int exit_ok = 0;
constexpr int exit_bad_usage = 2;
constexpr int exit_bad_settings = 3;
constexpr int exit_no_address = 4;
constexpr int exit_cut = 5;

volatile std::sig_atomic_t stop_signals = 0;

void did_receive_stop(int /*signal*/) { stop_signals = stop_signals + 1; }

/// Waits for the first stop signal. Signals only count; all else happens on ordinary threads.
void wait_for_stop() {
    while (stop_signals == 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
}

int serve(const postpaddle::settings::process_settings& process) {
    const postpaddle::base::system_clock_source clock;
    postpaddle::service::start_log(process.log_level, process.name.value);
    postpaddle::service::entry_host host(clock, process);
    const auto addresses = host.start();
    if (!addresses) {
        std::cerr << "postpaddled: can't listen: " << addresses.error().detail << '\n';
        return exit_no_address;
    }
    std::cout << nlohmann::json{{"callers", addresses->callers},
                                {"operators", addresses->operators},
                                {"peers", addresses->peers}}
              << std::endl;
    wait_for_stop();
    const auto result = host.drain([] { return stop_signals > 1; });
    if (result.requests_cut > 0)
        std::cerr << "postpaddled: " << result.requests_cut << " requests were cut\n";
    return result.requests_cut > 0 ? exit_cut : exit_ok;
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("serves as an entry host of postpaddle\n\n"
                            "  postpaddled --settings=FILE [--check]\n\n"
                            "On start it prints one JSON line with the addresses it listens on.\n"
                            "SIGTERM or SIGINT begins a planned stop; a second one ends it at once.\n"
                            "Exit codes: 0 stopped as planned, 2 bad usage, 3 bad settings,\n"
                            "4 an address can't be had, 5 stopped with requests cut.");
    gflags::SetVersionString(POSTPADDLE_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_settings.empty() || argc > 1) {
        std::cerr << "postpaddled: --settings=FILE is needed; see --help\n";
        return exit_bad_usage;
    }
    std::ifstream file(FLAGS_settings);
    if (!file) {
        std::cerr << "postpaddled: can't read " << FLAGS_settings << '\n';
        return exit_bad_settings;
    }
    std::stringstream text;
    text << file.rdbuf();
    const auto process = postpaddle::settings::parse_process_settings(text.str(), FLAGS_settings);
    if (!process) {
        std::cerr << postpaddle::settings::to_text(process.error());
        return exit_bad_settings;
    }
    if (FLAGS_check)
        return exit_ok;
    std::signal(SIGTERM, did_receive_stop);
    std::signal(SIGINT, did_receive_stop);
    std::signal(SIGPIPE, SIG_IGN);
    return serve(*process);
}
