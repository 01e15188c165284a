// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <soak/fault_plan.h>
#include <soak/observations.h>
#include <soak/settings_journal.h>
#include <support/gateway_cluster.h>

#include <atomic>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace postpaddle::soak {

/// Carries out a plan on a cluster, and records what excuses something. Not thread-safe: everything but the
/// reading of the hosts' logs happens in `run`.
class fault_runner {
public:
    fault_runner(test::gateway_cluster& cluster, const fault_plan& plan, settings_journal& journal);
    fault_runner(const fault_runner&) = delete;
    fault_runner(fault_runner&&) = delete;
    fault_runner& operator=(const fault_runner&) = delete;
    fault_runner& operator=(fault_runner&&) = delete;
    /// Ends the hosts, so that their logs end.
    ~fault_runner();

    /// Publishes the first settings of the run and waits until they are in force on all hosts.
    void publish_first_settings();
    /// Returns after the last fault is over and all hosts are ready again, or could not be made ready;
    /// early if interrupted.
    void run(const std::atomic<bool>& is_interrupted);
    /// Watches the processes for as long as `condition` does not hold, up to a limit.
    void watch_until(const std::function<bool()>& condition);
    /// Adds what was recorded.
    void add_to(observations& seen) const;
    /// Ids of the servers' starts that run, by place.
    [[nodiscard]] const std::vector<std::string>& running_servers() const { return this->server_ids; }
    /// What was carried out, for the report of a failed run.
    [[nodiscard]] const std::vector<std::string>& log() const { return this->log_lines; }
    /// Path of a server's run log.
    [[nodiscard]] static std::string run_log_path(const std::string& folder, const std::string& server);

private:
    struct host_state {
        bool is_up = true;
        bool is_starting = false;
        bool is_stopping = false;
        bool is_killed = false;
        bool has_been_ready = false;
        milliseconds restart_after{0};
        std::size_t open_incident = 0; ///< Index of the start, stop or loss that is under way.
        std::jthread log_reader;
    };

    void schedule(time_point at, std::function<void()> action);
    void carry_out(const planned_fault& fault);
    void send_crowd(const planned_fault& fault);
    void carry_out_at_host(const planned_fault& fault);
    void carry_out_loss_of_all(const planned_fault& fault);
    void carry_out_release(const planned_fault& fault);
    void carry_out_at_server(const planned_fault& fault);
    void carry_out_at_store(const planned_fault& fault);
    void carry_out_at_links(const planned_fault& fault);
    void turn_hosts_away(const planned_fault& fault);
    void write_odd_entry(int draw);
    void forget_history(const planned_fault& fault);
    /// Starts a server again under its id, unless it is ending.
    void restart_server(const std::string& id, int start_time_ms);
    void publish(int draw);
    /// Has a server close a share of its requests without an answer for a while.
    void close_requests(const std::string& id, const planned_fault& fault);
    void end_server(const planned_fault& fault, const std::string& id);
    void start_server(int place);
    /// Starts an engine of that version in the place, then has the running one leave and end.
    void replace_engine(int place, int version);
    /// Notes the start that runs in a place if it names its version.
    void note_engine_start(int place, const test::server_plan& plan);
    void kill_host(int host, milliseconds restart_after);
    void start_host(int host);
    void read_log(int host);
    void did_exit(int host);
    /// Looks for processes that have ended or become ready, and at their memory.
    void poll();
    std::size_t open_incident(incident row);
    void close_incident(std::size_t index);
    void write_log(const std::string& text);

    test::gateway_cluster* cluster;
    const fault_plan* plan;
    settings_journal* journal;
    time_point started_at;
    std::multimap<time_point, std::function<void()>> actions;
    std::map<int, host_state> hosts;
    std::vector<std::string> server_ids;              ///< By place.
    std::map<std::string, std::uint64_t> start_times; ///< Of servers that started again; 0 without one.
    int odd_entries = 0;
    std::vector<int> starts_of_place;
    std::vector<int> version_of_place; ///< Of the engine's software; 0 for servers without one.
    int newest_version = 0;
    std::vector<engine_start> engine_starts;
    std::vector<time_point> losses_of_all_hosts;
    std::vector<incident> incidents;
    std::vector<departure> departures;
    std::vector<host_exit> exits;
    std::vector<std::size_t> peak_memory_bytes;
    std::vector<std::string> log_lines;
    std::vector<std::jthread> crowds; ///< Of clients that keep no limit; joined first.
};

/// Control of a stand-in by which its next answers, or those to calls, have no end: how many, what they
/// repeat and how fast are drawn.
[[nodiscard]] nlohmann::json make_endless_control(fault_mix mix, int place, int draw);
/// Plan of a place's start; version 0 has its events name none.
[[nodiscard]] test::server_plan make_server_plan(int place, int start, int version = 0);
/// Software version with which a place begins; 0 for none.
[[nodiscard]] int first_version(const fault_plan& plan, int place);

} // namespace postpaddle::soak
