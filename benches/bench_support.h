// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <harness/cluster.h>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace postpaddle::bench {

using nlohmann::json;

/// Command-line options of the benches.
struct bench_options {
    std::string programs;              ///< Folder with the built programs.
    bool is_json = false;              ///< Prints rows as JSON, one a line.
    bool is_quebec = false;            ///< Uses Quebec's deployment instead of Mauritius's.
    bool is_quick = false;             ///< Fewer and shorter points, to check that a bench runs.
    double seconds = 8;                ///< Measured seconds of a load point, after its warm-up.
    std::vector<double> loads;         ///< Offered loads, as fractions of the maximum request rate.
    std::vector<std::string> policies; ///< Routing policies to compare.
    std::uint64_t seed = 1;            ///< Seed of the request arrivals.
};

/// Prints results row by row while a bench runs, as a table or as JSON. Rows are JSON objects.
class result_table {
public:
    result_table(const bench_options& options, std::vector<std::string> columns);

    void add_row(const json& row);

private:
    bool is_json;
    std::vector<std::string> columns;
    bool has_header = false;
};

/// Creates a temporary folder for a bench's settings files and logs.
[[nodiscard]] std::string scratch_folder(const std::string& name);

/// Runs the load driver with a plan and returns its report.
[[nodiscard]] json run_load_driver(const bench_options& options, const std::string& folder, const json& plan);

/// Starts the load driver with a plan. Its report is the first line of its standard output.
[[nodiscard]] stand_in::child_process start_load_driver(const bench_options& options,
                                                        const std::string& folder, const json& plan);

/// Goodput, latencies and wasted prefill tokens by routing policy and offered load.
[[nodiscard]] int run_goodput(const bench_options& options);
/// Effect of injected faults on the requests of a loaded deployment.
[[nodiscard]] int run_faults(const bench_options& options);
/// Time of a routing decision and memory of the router's state.
[[nodiscard]] int run_decide(const bench_options& options);
/// Latency added by a host, and its processor time and memory with many open streams.
[[nodiscard]] int run_relay(const bench_options& options);
/// Control traffic, change propagation and failure detection by number of hosts.
[[nodiscard]] int run_hosts(const bench_options& options);
/// Latency added by claiming idempotency keys.
[[nodiscard]] int run_claims(const bench_options& options);
/// Time to apply another host's load report.
[[nodiscard]] int run_reports(const bench_options& options);
/// Time that a host with waiting requests spends on a change of free decode slots.
[[nodiscard]] int run_waiting(const bench_options& options);
/// Time of a decision on a plain request by load, of a response, and of the other hosts' reports.
[[nodiscard]] int run_plain(const bench_options& options);

} // namespace postpaddle::bench
