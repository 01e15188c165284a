// SPDX-License-Identifier: BSD-2-Clause
// postpaddled: the daemon that runs an entry host or a gateway host, depending on its settings file.

#include <gateway/gateway_host.h>
#include <platform/request_codec.h>
#include <platform/store_client.h>
#include <service/entry_host.h>
#include <service/log.h>

#include <base/clock.h>
#include <settings/gateway_settings.h>
#include <settings/process_settings.h>
#include <wire/asio.h>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <malloc.h>

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
constexpr int exit_listen_failed = 4;
constexpr int exit_requests_cut = 5;

volatile std::sig_atomic_t stop_signal_count = 0;

void on_stop_signal(int /*signal*/) { stop_signal_count = stop_signal_count + 1; }

/// Waits for the first stop signal. The signal handler only counts, since little else is async-signal-safe.
void wait_for_stop_signal() {
    while (stop_signal_count == 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
}

int serve_entry_host(const postpaddle::settings::process_settings& process) {
    const postpaddle::base::system_clock_source clock;
    postpaddle::service::configure_logging(process.log_level, process.name.value);
    postpaddle::service::entry_host host(clock, process);
    const auto addresses = host.start();
    if (!addresses) {
        std::cerr << "postpaddled: can't listen: " << addresses.error().detail << '\n';
        return exit_listen_failed;
    }
    std::cout << nlohmann::json{{"callers", addresses->callers},
                                {"operators", addresses->operators},
                                {"peers", addresses->peers}}
              << std::endl;
    wait_for_stop_signal();
    const auto result = host.drain([] { return stop_signal_count > 1; });
    if (result.requests_cut > 0)
        std::cerr << "postpaddled: " << result.requests_cut << " requests were cut\n";
    return result.requests_cut > 0 ? exit_requests_cut : exit_ok;
}

std::optional<std::string> read_file(const std::string& path) {
    std::ifstream file(path);
    if (!file)
        return std::nullopt;
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Fixes the malloc threshold so that every coroutine stack is mapped separately and returned to the kernel
/// when the coroutine ends. By default glibc raises the threshold after the first such block is freed and
/// then takes stacks from the heap, where fragmentation keeps their pages resident.
void use_mmap_for_coroutine_stacks() {
    static constexpr int mmap_threshold_bytes = 128 * 1024;
    static_assert(mmap_threshold_bytes < postpaddle::wire::coroutine_stack_bytes);
    (void)mallopt(M_MMAP_THRESHOLD, mmap_threshold_bytes);
}

/// Re-reads the gateway's settings file; empty if it can't be read or is invalid.
std::optional<postpaddle::settings::gateway_settings> read_gateway_settings() {
    const auto text = read_file(FLAGS_settings);
    if (!text)
        return std::nullopt;
    auto process = postpaddle::settings::parse_gateway_settings(*text, FLAGS_settings);
    if (process)
        return std::move(*process);
    std::cerr << postpaddle::settings::to_text(process.error());
    return std::nullopt;
}

int serve_gateway_host() {
    const auto process = read_gateway_settings();
    if (!process)
        return exit_bad_settings;
    if (FLAGS_check)
        return exit_ok;
    const postpaddle::base::system_clock_source clock;
    const postpaddle::gateway::gateway_ports ports = {
        .protocol = postpaddle::platform::make_request_protocol(),
        .make_feed = [](auto& context, const std::string& address) {
            return std::make_unique<postpaddle::platform::store_client>(context, address);
        }};
    postpaddle::gateway::gateway_host host(clock, *process, ports);
    if (const auto started = host.start(); !started) {
        std::cerr << "postpaddled: can't listen: " << started.error().detail << '\n';
        return exit_listen_failed;
    }
    return host.run(read_gateway_settings).requests_cut > 0 ? exit_requests_cut : exit_ok;
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
    const auto text = read_file(FLAGS_settings);
    if (!text) {
        std::cerr << "postpaddled: can't read " << FLAGS_settings << '\n';
        return exit_bad_settings;
    }
    std::signal(SIGPIPE, SIG_IGN);
    use_mmap_for_coroutine_stacks();
    if (postpaddle::settings::is_gateway_document(*text))
        return serve_gateway_host();
    const auto process = postpaddle::settings::parse_process_settings(*text, FLAGS_settings);
    if (!process) {
        std::cerr << postpaddle::settings::to_text(process.error());
        return exit_bad_settings;
    }
    if (FLAGS_check)
        return exit_ok;
    std::signal(SIGTERM, on_stop_signal);
    std::signal(SIGINT, on_stop_signal);
    return serve_entry_host(*process);
}
