// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <harness/child_process.h>

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace postpaddle::stand_in {

/// An engine or plain service to start.
struct upstream_plan {
    std::string name;
    std::string zone = "a";
    bool is_plain = false;
    std::vector<std::string> flags; ///< Command-line flags of the stand-in.
};

/// Processes of a cluster and their settings.
struct cluster_options {
    std::string programs; ///< Folder with the built programs.
    std::string folder;   ///< For settings files and logs; created if missing.
    int hosts = 3;
    std::vector<std::string> zones = {"a"};
    std::vector<upstream_plan> upstreams;
    std::string policy = "postpaddle";
    std::string host_settings; ///< Lines appended to each host's settings file.
    std::vector<std::string> log_flags;
    bool has_proxies = false; ///< Whether hosts reach upstreams and the log through the fault proxy.
};

struct running_upstream {
    std::string address;         ///< Listening address.
    std::string proxied_address; ///< Address for hosts: the fault proxy's if there is one.
    std::unique_ptr<child_process> process;
};

struct running_host {
    std::string name;
    std::string settings_path;
    std::string callers_address;
    std::string operators_address;
    std::unique_ptr<child_process> process;
};

/// Token that the hosts' operators' addresses require.
inline constexpr const char* operators_token = "operators-token";

/// Hosts, engines, plain services and the platform's stand-ins as real processes on 127.0.0.1.
class cluster {
public:
    explicit cluster(cluster_options options);

    /// Publishes an operators' document with the upstreams' addresses filled in and waits until it is in
    /// force on all hosts. On failure prints the publisher's output to standard error and returns false.
    bool publish(const std::string& document);
    /// Starts the host with that index, counted from 0, or restarts it after it was stopped or killed.
    void start_host(int number);
    /// Waits, without a timeout, until every running host is ready.
    void wait_until_ready();
    /// Sets faults of an upstream.
    void set_upstream_faults(const std::string& upstream, const nlohmann::json& faults);
    [[nodiscard]] nlohmann::json counters(const std::string& upstream) const;
    /// Fetches a host's state dump from its operators' address.
    [[nodiscard]] nlohmann::json state(const running_host& host) const;
    /// Sets faults of a fault proxy's link, which has the name of its upstream or is `log`.
    void set_link_faults(const std::string& link, const nlohmann::json& faults);
    /// Kills an upstream's process.
    void kill_upstream(const std::string& upstream);
    /// Returns the document with the upstreams' addresses filled in.
    [[nodiscard]] std::string fill_in_addresses(const std::string& document) const;
    /// Number of requests and retained prefill results that running engines hold.
    [[nodiscard]] int held_request_count() const;

    std::vector<running_host> hosts;
    std::map<std::string, running_upstream> upstreams;
    std::string log_address;         ///< Listening address.
    std::string proxied_log_address; ///< Address for hosts: the fault proxy's if there is one.
    std::string host_list_address;
    std::string proxy_address;
    cluster_options options;

private:
    /// Starts a program and sets `address` to the one that it reports on standard output.
    std::unique_ptr<child_process> start_process(const std::string& program, const std::string& name,
                                                 const std::vector<std::string>& flags,
                                                 std::string& address) const;
    /// Creates a link of the fault proxy to the address and returns the link's; the same address without a
    /// proxy.
    std::string add_proxy_link(const std::string& name, const std::string& address) const;

    std::unique_ptr<child_process> log;
    std::unique_ptr<child_process> host_list;
    std::unique_ptr<child_process> proxy;
};

} // namespace postpaddle::stand_in
