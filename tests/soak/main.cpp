// SPDX-License-Identifier: BSD-2-Clause
// Plays seeds of the fault soak and prints a line for each. Exits with 1 if a promise was broken.

#include <soak/soak_run.h>

#include <gflags/gflags.h>

#include <atomic>
#include <csignal>
#include <iostream>
#include <optional>
#include <string>

DEFINE_uint64(seed, 1, "first seed");
DEFINE_int32(seeds, 1, "number of seeds, one after the other");
DEFINE_int32(seconds, 15, "length of a seed's plan of faults");
DEFINE_int32(hosts, 3, "hosts, each a process of its own");
DEFINE_string(mix, "", "mix of faults in place of the seed's own");
DEFINE_bool(json, false, "print a JSON object for each seed");

namespace {

/// The named mix; nothing for an unknown name.
std::optional<postpaddle::soak::fault_mix> find_mix(const std::string& name) {
    using enum postpaddle::soak::fault_mix;
    for (const auto mix :
         {planned, servers, hosts, all, releases, breaks, combined, departures, memory, crowds})
        if (name == to_text(mix))
            return mix;
    return std::nullopt;
}

std::string describe_take_ups(const nlohmann::json& take_ups) {
    std::string text;
    for (const char* when : {"after_losses", "without_loss"}) {
        text += std::string("  take-ups that went on, ") + when + ":";
        for (const auto& [kind, count] : take_ups[when].items())
            text += " " + kind + " " + count["went_on"].dump() + " of " + count["counted"].dump();
        text += "\n";
    }
    return text;
}

/// Set by signals: the processes of the cluster must be ended before this one.
std::atomic<bool> is_interrupted = false;

} // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto mix = find_mix(FLAGS_mix);
    if (!FLAGS_mix.empty() && !mix) {
        std::cerr << "there is no mix " << FLAGS_mix << '\n';
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    for (const int signal : {SIGINT, SIGTERM})
        std::signal(signal, [](int /*signal*/) { is_interrupted = true; });
    int failed = 0;
    for (int number = 0; number < FLAGS_seeds && !is_interrupted; ++number) {
        const auto report =
            postpaddle::soak::run_soak({.seed = FLAGS_seed + static_cast<std::uint64_t>(number),
                                        .hosts = FLAGS_hosts,
                                        .length = std::chrono::seconds(FLAGS_seconds),
                                        .mix = mix},
                                       is_interrupted);
        if (is_interrupted)
            break; // Its verdict would say little.
        failed += report.found.empty() ? 0 : 1;
        const nlohmann::json result = to_json(report);
        if (FLAGS_json)
            std::cout << result << std::endl;
        else
            std::cout << "seed " << result["seed"] << " (" << result["mix"].get<std::string>()
                      << "): " << (report.found.empty() ? "kept" : "BROKEN") << ", faults "
                      << result["faults"] << ", attempts " << result["attempts"] << ", retries "
                      << result["retries"] << '\n'
                      << (report.plan.mix == postpaddle::soak::fault_mix::releases
                              ? describe_take_ups(result["take_ups"])
                              : "")
                      << describe_failure(report) << std::flush;
    }
    std::cerr << failed << " seeds broke a promise" << (is_interrupted ? ", interrupted\n" : "\n");
    return failed == 0 && !is_interrupted ? 0 : 1;
}
