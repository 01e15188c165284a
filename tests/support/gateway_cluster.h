// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <harness/blocking_client.h>
#include <harness/child_process.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace postpaddle::test {

/// A server of the platform's stand-in: its id, its service and what it does.
struct server_plan {
    std::string id;
    std::string service = "plain";
    std::string stage{}; ///< Empty, `prefill` or `decode`.
    std::string zone = "east";
};

/// What a cluster of gateway hosts is made of.
struct gateway_cluster_options {
    std::string name; ///< Of the folder for logs.
    std::vector<server_plan> servers;
    int hosts = 1;
    bool has_configuration = true;  ///< Whether the operator has written one before the hosts start.
    double retry_slack = 1'000'000; ///< So much that a host that has just started can send again.
    bool has_datagrams = true;      ///< Whether hosts tell each other anything by datagrams.
    int heartbeat_ms = 200;         ///< Between two heartbeats of a host.
    double cold_requests = 0;       ///< A second, that a cold server bears; 0 for no bound.
    int store_bytes_per_s = 0;      ///< What the link from the store to each host carries; 0 for no limit.
};

/// Gateway hosts, the platform's store and its servers as real processes on loopback addresses.
class gateway_cluster {
public:
    explicit gateway_cluster(gateway_cluster_options options);

    /// Starts a host; it has the number's own loopback address.
    void start_host(int number);
    [[nodiscard]] stand_in::child_process& host(int number) { return *this->hosts.at(number); }
    /// Whether the host answers that it may be given callers.
    [[nodiscard]] bool is_ready(int number) const;
    /// Whether the host has read who the others are: without it, it has no part of the retry budget's slack.
    [[nodiscard]] bool has_host_list(int number) const;
    /// The host's state dump.
    [[nodiscard]] nlohmann::json state_of(int number) const;
    /// The host's own loopback address, from which the store also sees it.
    [[nodiscard]] std::string host_ip(int number) const;
    /// A figure of the host's metrics; 0 where it has none of that name.
    [[nodiscard]] double metric(int number, const std::string& name) const;
    [[nodiscard]] std::string callers_address(int number = 1) const;
    /// Address for the other hosts and for operators.
    [[nodiscard]] std::string peers_address(int number = 1) const;

    /// Port for datagrams, the same at each host's address.
    [[nodiscard]] int datagram_port() const { return this->load_port; }

    /// Writes a configuration: the cluster's routes, and one more below `/extra/` where `has_extra_route`.
    void publish(int version, bool has_extra_route = false);
    /// Writes a configuration with that many routes beside the cluster's; gives its size in bytes.
    std::size_t publish_grown(int version, int more_routes);
    /// Writes a configuration that names organisations, each with `name`, `apiKeys` and its limit, and has a
    /// route `/open/` that needs no key.
    void publish_organisations(int version, const nlohmann::json& organisations);
    /// Writes an entry under a new id for a server of that service at the address of one that runs.
    void list_at(const std::string& id, const std::string& service, const std::string& running_id);
    /// Writes a server's entry into the registry.
    void list(const std::string& id, const std::string& state, int sequence, std::uint64_t born = 0);
    /// Writes a server's entry that says that it stays cold for so long.
    void list_cold(const std::string& id, int sequence, int cold_ms);
    /// Writes into the registry what need not be an entry at all.
    void list_text(const std::string& id, const std::string& text);
    /// Sets faults of the store, and reads its counters.
    nlohmann::json store(const nlohmann::json& control = nlohmann::json::object());
    /// Bytes that the store's answers brought over the host's link; the link must have a limit.
    [[nodiscard]] std::uint64_t bytes_from_store(int number) const;
    /// Sets faults of a server, and reads its counters.
    nlohmann::json server(const std::string& id, const nlohmann::json& control = nlohmann::json::object());
    /// Ends a server's process at once; its registry entry stays.
    void kill_server(const std::string& id);
    /// Starts a server again, ending its process where it lives: same id and address, `born` at that time.
    void restart_server(const std::string& id, std::uint64_t born);
    /// Whether the server's process answers.
    [[nodiscard]] bool is_serving(const std::string& id);
    /// Where a server listens.
    [[nodiscard]] std::string server_address(const std::string& id) const {
        return this->server_addresses.at(id);
    }
    /// Requests that arrived at a server, prompts that were only read left out.
    [[nodiscard]] int arrivals(const std::string& id);
    /// Requests that all servers of the cluster ran.
    [[nodiscard]] int runs();

private:
    /// Starts a server's process; port 0 lets the system choose.
    void start_server(const std::string& id, int port);
    void put_server(const std::string& id, const nlohmann::json& entry);
    [[nodiscard]] std::string host_address(int number, int port) const;
    /// Where the host finds the store: over a link of its own where links have a limit.
    [[nodiscard]] std::string store_address(int number);

    gateway_cluster_options options;
    std::string folder;
    std::string network; ///< First three numbers of the hosts' addresses, with a dot behind.
    std::unique_ptr<stand_in::child_process> store_process;
    std::string store_port;
    std::unique_ptr<stand_in::child_process> proxy; ///< Where links have a limit.
    std::string proxy_control;
    std::map<std::string, std::unique_ptr<stand_in::child_process>> servers;
    std::map<std::string, std::string> server_addresses;
    std::map<std::string, server_plan> plans;
    std::map<int, std::unique_ptr<stand_in::child_process>> hosts;
    int callers_port;
    int readiness_port;
    int peers_port;
    int load_port;
};

/// The version of the settings in force on a host; 0 where it has none or gives no answer.
[[nodiscard]] int version_at(const gateway_cluster& cluster, int host);

/// Status of a host's answer to a request to that path; 0 where there is none.
[[nodiscard]] int status_at(const gateway_cluster& cluster, int host, const std::string& path);

/// A request to the cluster's routes: `/once/`, `/again/`, `/stream/` (may run once) and `/resume/`.
[[nodiscard]] wire::http_request routed_request(const std::string& path, const std::string& id);

} // namespace postpaddle::test
