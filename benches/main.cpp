// SPDX-License-Identifier: BSD-2-Clause
// bench: runs a benchmark by name. Most start a cluster of real processes on this machine.

#include <benches/bench_support.h>

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>
#include <map>
#include <sstream>

DEFINE_string(programs, "", "folder with the built programs");
DEFINE_bool(json, false, "print a JSON row a point");
DEFINE_bool(quebec, false, "goodput, faults: Quebec's 18 model servers instead of Mauritius's 9");
DEFINE_bool(quick, false, "fewer and shorter points");
DEFINE_double(seconds, 8, "goodput, faults: counted seconds of a point");
DEFINE_string(loads, "0.5,0.8,1.0,1.2,1.5", "goodput: offered load as parts of the bound");
DEFINE_string(policies, "postpaddle,round_robin,least_load", "goodput: decision functions");
DEFINE_uint64(seed, 1, "seed of the arrivals");

namespace {

std::vector<std::string> split(const std::string& text) {
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
        parts.push_back(part);
    return parts;
}

} // namespace

int main(int argc, char** argv) {
    using namespace postpaddle::bench;
    gflags::SetUsageMessage("measures postpaddle: bench (goodput | faults | decide | relay | hosts | claims "
                            "| reports | waiting | plain)");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    bench_options options;
    options.programs = FLAGS_programs;
    options.is_json = FLAGS_json;
    options.is_quebec = FLAGS_quebec;
    options.is_quick = FLAGS_quick;
    options.seconds = FLAGS_seconds;
    options.policies = split(FLAGS_policies);
    options.seed = FLAGS_seed;
    for (const std::string& load : split(FLAGS_loads))
        options.loads.push_back(std::stod(load));
    const std::map<std::string, int (*)(const bench_options&)> benches = {
        {"goodput", run_goodput}, {"faults", run_faults},   {"decide", run_decide},
        {"relay", run_relay},     {"hosts", run_hosts},     {"claims", run_claims},
        {"reports", run_reports}, {"waiting", run_waiting}, {"plain", run_plain}};
    const auto found = benches.find(argc == 2 ? argv[1] : "");
    if (found == benches.end()) {
        std::cerr
            << "bench: name one of goodput, faults, decide, relay, hosts, claims, reports, waiting, plain\n";
        return 2;
    }
    return found->second(options);
}
