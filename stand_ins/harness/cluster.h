// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <harness/child_process.h>

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace postpaddle::stand_in {

/// One engine or plain service to start.
struct upstream_plan {
    std::string name;
    std::string zone = "a";
    bool is_plain = false;
    std::vector<std::string> flags; ///< Of the stand-in.
};

/// What a cluster is made of.
struct cluster_options {
    std::string programs; ///< Folder with the built programs.
    std::string folder;   ///< For settings files and logs; made when missing.
    int hosts = 3;
    std::vector<std::string> zones = {"a"};
    std::vector<upstream_plan> upstreams;
    std::string policy = "postpaddle";
    std::string host_settings; ///< Further lines of each host's settings.
    std::vector<std::string> log_flags;
    bool has_proxies = false; ///< Engines and the log are reached through the fault proxy.
};

/// One running upstream.
struct running_upstream {
    std::string address;       ///< Its own.
    std::string named_address; ///< What the settings should name: the proxy's where there is one.
    std::unique_ptr<child_process> process;
};

/// One running entry host.
struct running_host {
    std::string name;
    std::string settings_path;
    std::string callers;
    std::string operators;
    std::unique_ptr<child_process> process;
};

/// Token of the operators' address in clusters.
inline constexpr const char* operators_token = "operators-token";

/// Real processes on 127.0.0.1: hosts, engines, plain services and the platform's stand-ins.
class cluster {
public:
    explicit cluster(cluster_options options);

    /// Publishes an operators' document with the addresses of running upstreams put in; waits until each host
    /// has it in force. False, with the verdict on standard error, when it was not accepted.
    bool publish(const std::string& document);
    /// Starts a host of that number; again after it was stopped or killed.
    void start_host(int number);
    /// Waits until every running host is ready.
    void wait_ready();
    /// Sets faults of an upstream through its control endpoint.
    void control(const std::string& upstream, const nlohmann::json& faults);
    /// Counters of an upstream.
    [[nodiscard]] nlohmann::json counters(const std::string& upstream) const;
    /// State dump of a host.
    [[nodiscard]] nlohmann::json state(const running_host& host) const;
    /// Sets faults of a proxied link, named after its upstream or `log`.
    void break_link(const std::string& link, const nlohmann::json& faults);
    /// Restarts an upstream on a port of its own choice.
    void kill_upstream(const std::string& upstream);
    /// Document with the addresses filled in.
    [[nodiscard]] std::string with_addresses(const std::string& document) const;
    /// Holds that engines have open now, over all of them.
    [[nodiscard]] int open_holds() const;

    std::vector<running_host> hosts;
    std::map<std::string, running_upstream> upstreams;
    std::string log_address;       ///< The log's own.
    std::string log_named_address; ///< As hosts reach it.
    std::string host_list_address;
    std::string proxy_address;
    cluster_options options;

private:
    std::unique_ptr<child_process> start(const std::string& program, const std::string& name,
                                         const std::vector<std::string>& flags, std::string& address) const;
    std::string proxied(const std::string& name, const std::string& address) const;

    std::unique_ptr<child_process> log;
    std::unique_ptr<child_process> host_list;
    std::unique_ptr<child_process> proxy;
};

} // namespace postpaddle::stand_in
