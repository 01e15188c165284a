// SPDX-License-Identifier: BSD-2-Clause
#include <soak/soak_run.h>

#include <soak/fault_runner.h>
#include <soak/settings_document.h>
#include <soak/soak_callers.h>
#include <soak/stream_checkers.h>
#include <support/gateway_cluster.h>
#include <support/test_cluster.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <future>
#include <limits>
#include <map>
#include <unistd.h>

namespace postpaddle::soak {

namespace {

using nlohmann::json;

constexpr int callers_at_least = 8;
constexpr int callers_per_host = 3;
/// In releases, so that a loss of all hosts cuts tens of streams.
constexpr int callers_in_releases = 40;
/// Before hosts with little memory.
constexpr int callers_for_memory = 100;
constexpr int little_memory_mb = 110;
/// Slack of the retry budget, in requests, of a run in which the budget may be used up.
constexpr double limited_slack = 2;
constexpr double ample_slack = 1'000'000;
/// The same where servers break many requests.
constexpr double slack_of_breaks = 20;
/// The same where all engines do at once: two whole retries for each of three hosts.
constexpr double slack_of_combined = 8;
constexpr int ok_status = 200;
/// So that callers whose streams are refused begin others.
constexpr int refusals_of_combined = 4;

std::string cluster_name(std::uint64_t seed) { return "soak-" + std::to_string(seed); }

/// Folder that the cluster of that name uses in this process, emptied.
std::string prepare_folder(std::uint64_t seed) {
    const auto folder = std::filesystem::temp_directory_path() /
                        ("postpaddle-" + cluster_name(seed) + "-" + std::to_string(getpid()));
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    return folder.string();
}

double retry_slack_of(const fault_plan& plan) {
    if (plan.mix == fault_mix::breaks)
        return slack_of_breaks;
    if (plan.mix == fault_mix::combined)
        return slack_of_combined;
    return plan.has_limited_budget ? limited_slack : ample_slack;
}

test::gateway_cluster_options make_cluster_options(const fault_plan& plan, const std::string& folder) {
    test::gateway_cluster_options options;
    options.name = cluster_name(plan.options.seed);
    options.hosts = plan.options.hosts;
    options.retry_slack = retry_slack_of(plan);
    options.linked_hosts = plan.mix == fault_mix::combined ? plan.options.hosts : 0;
    options.memory_mb = is_about_memory(plan.mix) ? little_memory_mb : 0;
    for (int place = 0; place < static_cast<int>(server_places().size()); ++place) {
        test::server_plan server = make_server_plan(place, 1, first_version(plan, place));
        server.run_log = fault_runner::run_log_path(folder, server.id);
        options.servers.push_back(std::move(server));
    }
    return options;
}

time_point from_milliseconds(double value) { return time_point(base::from_seconds(value / 1'000)); }

/// Reads a server's run log. A line that was cut off as the process was killed is left out.
void read_run_log(const std::filesystem::path& path, std::vector<arrival>& arrivals) {
    std::map<int, std::size_t> index_of_number;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        const json row = json::parse(line, nullptr, false);
        if (!row.is_object())
            continue;
        const int number = row.at("number").get<int>();
        const time_point at = from_milliseconds(row.at("at_ms").get<double>());
        if (row.contains("attempt")) {
            index_of_number[number] = arrivals.size();
            arrivals.push_back({.attempt = row.at("attempt"),
                                .server = path.stem().string(),
                                .at = at,
                                .is_prefill = row.at("is_prefill"),
                                .runs = row.at("runs"),
                                .refused_with = row.at("refused_with")});
        } else {
            arrival& ended = arrivals.at(index_of_number.at(number));
            ended.has_ended = true;
            ended.ended_at = at;
            ended.is_broken_off = row.at("is_broken_off");
            ended.is_endless = row.at("is_endless");
        }
    }
}

std::vector<arrival> read_run_logs(const std::string& folder) {
    std::vector<arrival> arrivals;
    for (const auto& entry : std::filesystem::directory_iterator(folder))
        if (entry.path().extension() == ".runs")
            read_run_log(entry.path(), arrivals);
    return arrivals;
}

std::vector<std::string> callers_addresses(const test::gateway_cluster& cluster, int hosts) {
    std::vector<std::string> addresses;
    for (int host = 1; host <= hosts; ++host)
        addresses.push_back(cluster.callers_address(host));
    return addresses;
}

/// Looks whether all hosts serve and all servers are idle again.
void check_recovery(test::gateway_cluster& cluster, const fault_runner& runner, observations& seen) {
    for (const std::string& id : runner.running_servers()) {
        const bool is_idle = test::eventually([&] {
            const json counters = cluster.server(id);
            return counters.is_object() && counters.at("running") == 0;
        });
        if (!is_idle)
            seen.servers_still_at_work.push_back(id);
    }
    for (int host = 1; host <= static_cast<int>(seen.peak_memory_bytes.size()); ++host)
        if (!test::eventually([&] { return test::status_at(cluster, host, "/again/") == ok_status; }))
            seen.hosts_that_do_not_serve.push_back(host);
}

int count_callers(const fault_plan& plan) {
    const int usual = callers_at_least + callers_per_host * plan.options.hosts;
    if (is_about_memory(plan.mix))
        return std::max(callers_for_memory, usual);
    return has_software_versions(plan.mix) ? std::max(callers_in_releases, usual) : usual;
}

void write_lines(const std::string& path, const std::vector<std::string>& lines) {
    std::ofstream file(path);
    for (const std::string& line : lines)
        file << line << '\n';
}

} // namespace

soak_report run_soak(const plan_options& options, const std::atomic<bool>& is_interrupted) {
    soak_report report;
    report.plan = make_plan(options);
    report.folder = prepare_folder(options.seed);
    test::gateway_cluster cluster(make_cluster_options(report.plan, report.folder));
    settings_journal journal;
    fault_runner runner(cluster, report.plan, journal);
    runner.publish_first_settings();
    const auto addresses = callers_addresses(cluster, options.hosts);
    settings_probers probers(addresses, journal);
    const bool takes_up_streams = has_software_versions(report.plan.mix);
    const bool has_little_memory = is_about_memory(report.plan.mix);
    soak_callers callers({.seed = options.seed,
                          .count = count_callers(report.plan),
                          .hosts = addresses,
                          .takes_up_streams = takes_up_streams,
                          .has_large_requests = report.plan.mix == fault_mix::memory,
                          .max_refusals = report.plan.mix == fault_mix::combined
                                              ? refusals_of_combined
                                              : std::numeric_limits<int>::max()});
    runner.run(is_interrupted);
    auto ended = std::async(std::launch::async, [&] {
        report.seen.attempts = callers.stop();
        report.seen.probes = probers.stop();
    });
    runner.watch_until([&] { return ended.wait_for(milliseconds(0)) == std::future_status::ready; });
    ended.get();
    runner.add_to(report.seen);
    check_recovery(cluster, runner, report.seen);
    report.seen.arrivals = read_run_logs(report.folder);
    report.seen.has_limited_budget = report.plan.has_limited_budget;
    report.seen.retry_slack = retry_slack_of(report.plan);
    report.seen.max_attempts = resumable_attempts;
    promised_bounds bounds;
    if (has_little_memory)
        bounds.host_memory_bytes = 1'000'000UL * little_memory_mb;
    report.found = check_all(report.seen, bounds);
    report.fault_log = runner.log();
    write_lines(report.folder + "/faults.log", report.fault_log);
    return report;
}

namespace {

/// What became of take-ups: of all, by their status, and of those after a loss of all hosts.
json describe_take_ups(const observations& seen) {
    std::map<std::string, std::map<std::string, int>> statuses;
    for (const attempt& row : seen.attempts)
        if (row.events_before > 0)
            ++statuses[row.names_attempt ? "named" : "unnamed"][std::to_string(row.status)];
    const auto describe_count = [](const take_up_count& count) {
        return json{{"counted", count.counted}, {"went_on", count.went_on}, {"refused", count.refused}};
    };
    const auto describe_counts = [&](const take_up_counts& counts) {
        return json{{"named", describe_count(counts.named)},
                    {"unnamed", describe_count(counts.unnamed)},
                    {"unnamed_alike", describe_count(counts.unnamed_alike)}};
    };
    return {{"statuses", statuses},
            {"losses_of_all_hosts", seen.losses_of_all_hosts.size()},
            {"after_losses", describe_counts(count_take_ups_after_losses(seen, {}))},
            {"without_loss", describe_counts(count_take_ups_without_loss(seen, {}))}};
}

/// The most that each service's servers received beyond the first arrivals, and what is allowed.
json describe_retries(const observations& seen) {
    json services = json::object();
    for (const retry_usage& usage : measure_retries(seen, {}))
        services[usage.is_of_engines ? "engines" : "plain"] = {{"extra", usage.extra},
                                                               {"allowed", usage.allowed}};
    return services;
}

} // namespace

json to_json(const soak_report& report) {
    std::map<std::string, int> ends;
    for (const attempt& row : report.seen.attempts) {
        static constexpr std::array names = {"answered", "closed", "unanswered", "left", "not_connected"};
        std::string name = names.at(static_cast<std::size_t>(row.end));
        if (row.end == attempt_end::answered)
            name = std::to_string(row.status);
        ++ends[name];
    }
    std::map<std::string, int> faults;
    for (const planned_fault& fault : report.plan.faults)
        ++faults[to_text(fault.kind)];
    json found = json::array();
    for (const violation& row : report.found)
        found.push_back({{"promise", row.promise}, {"what", row.what}});
    const auto endless = std::ranges::count_if(report.seen.arrivals, &arrival::is_endless);
    const auto& memory = report.seen.peak_memory_bytes;
    return {{"seed", report.plan.options.seed},
            {"mix", to_text(report.plan.mix)},
            {"hosts", report.plan.options.hosts},
            {"has_limited_budget", report.plan.has_limited_budget},
            {"length_ms", report.plan.options.length.count()},
            {"faults", faults},
            {"attempts", ends},
            {"arrivals", report.seen.arrivals.size()},
            {"endless_answers", endless},
            {"probes", report.seen.probes.size()},
            {"take_ups", describe_take_ups(report.seen)},
            {"retries", describe_retries(report.seen)},
            {"peak_memory_bytes", memory.empty() ? 0 : *std::ranges::max_element(memory)},
            {"folder", report.folder},
            {"violations", found}};
}

std::string describe_failure(const soak_report& report) {
    static constexpr std::size_t max_rows = 20;
    if (report.found.empty())
        return {};
    std::string text = "seed " + std::to_string(report.plan.options.seed) + ", mix " +
                       to_text(report.plan.mix) + ", logs in " + report.folder + "\n";
    for (std::size_t row = 0; row < std::min(max_rows, report.found.size()); ++row)
        text += report.found[row].promise + ": " + report.found[row].what + "\n";
    if (report.found.size() > max_rows)
        text += "and " + std::to_string(report.found.size() - max_rows) + " more\n";
    for (const std::string& line : report.fault_log)
        text += line + "\n";
    return text;
}

} // namespace postpaddle::soak
