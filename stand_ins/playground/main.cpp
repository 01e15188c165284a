// SPDX-License-Identifier: BSD-2-Clause
// Starts a cluster of hosts and stand-ins, publishes the example settings and sends the example requests.

#include <harness/cluster.h>
#include <playground/example_request.h>

#include <gflags/gflags.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

DEFINE_string(programs, "", "folder with the built programs");
DEFINE_string(settings, "examples/settings.yaml", "operators' document to publish");
DEFINE_string(requests, "examples/requests.jsonl", "requests to send");
DEFINE_bool(once, false, "end after the requests; exit code 0 only if every answer was whole and right");
DEFINE_bool(json, false, "print a JSON row for each request");
DEFINE_int32(hosts, 3, "entry hosts");

namespace {

using namespace postpaddle;

volatile std::sig_atomic_t should_stop = 0;

void did_receive_stop(int /*signal*/) { should_stop = 1; }

std::string read_file(const std::string& path) {
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::vector<stand_in::upstream_plan> example_upstreams() {
    std::vector<stand_in::upstream_plan> plans;
    for (const char* const name : {"prefill-1", "prefill-2", "decode-1", "decode-2"})
        plans.push_back({.name = name, .zone = "a", .is_plain = false, .flags = {}});
    plans.push_back({.name = "inventory-1", .zone = "a", .is_plain = true, .flags = {}});
    return plans;
}

void print_status(const std::string& message) {
    (FLAGS_json ? std::cerr : std::cout) << message << std::endl;
}

void print_result(const stand_in::example_result& result) {
    if (FLAGS_json) {
        std::cout << stand_in::to_json(result) << std::endl;
        return;
    }
    std::cout << std::left << std::setw(22) << result.name << std::setw(5) << result.status << std::setw(10)
              << (result.is_complete ? "whole" : "NOT WHOLE") << std::setw(24)
              << (result.prefill.empty() ? std::string("-") : result.prefill + " -> " + result.decode)
              << std::fixed << std::setprecision(1) << std::right << std::setw(8) << result.first_token_ms
              << " ms first" << std::setw(8) << result.per_token_ms << " ms/token   " << result.text
              << std::endl;
}

void print_addresses(const stand_in::cluster& cluster) {
    for (const stand_in::running_host& host : cluster.hosts)
        print_status(host.name + "   callers http://" + host.callers_address + "   operators http://" +
                     host.operators_address);
    print_status(std::string("log http://") + cluster.log_address +
                 "   operators' token: " + stand_in::operators_token);
}

int run(const std::string& folder) {
    stand_in::cluster_options options;
    options.programs = FLAGS_programs;
    options.folder = folder;
    options.hosts = FLAGS_hosts;
    options.zones = {"a", "b"};
    options.upstreams = example_upstreams();
    options.host_settings = "stop: {balancer_lag_ms: 100, limit_ms: 5000}\n";
    print_status("starting " + std::to_string(FLAGS_hosts) +
                 " hosts and the stand-ins; settings files and logs in " + folder);
    stand_in::cluster cluster(options);
    print_status("publishing " + FLAGS_settings);
    if (!cluster.publish(read_file(FLAGS_settings)))
        return EXIT_FAILURE;
    cluster.wait_until_ready();
    print_addresses(cluster);
    bool are_all_complete = true;
    std::size_t sent_count = 0;
    for (const auto& example : stand_in::read_examples(FLAGS_requests)) {
        const auto& host = cluster.hosts[sent_count++ % cluster.hosts.size()];
        const auto result = stand_in::send_example(host.callers_address, example);
        are_all_complete = are_all_complete && result.is_complete;
        print_result(result);
    }
    if (FLAGS_once)
        return are_all_complete ? EXIT_SUCCESS : EXIT_FAILURE;
    print_status("up until Ctrl-C");
    while (should_stop == 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    for (stand_in::running_host& host : cluster.hosts)
        host.process->send_signal(SIGTERM);
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("starts hosts and stand-ins and sends the example requests");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGINT, did_receive_stop);
    std::signal(SIGTERM, did_receive_stop);
    std::signal(SIGPIPE, SIG_IGN);
    const auto folder = std::filesystem::temp_directory_path() / ("postpaddle-" + std::to_string(getpid()));
    try {
        const int code = run(folder.string());
        if (code == EXIT_SUCCESS)
            std::filesystem::remove_all(folder);
        return code;
    } catch (const std::exception& error) {
        std::cerr << "playground: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
