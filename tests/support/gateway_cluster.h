// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <harness/blocking_client.h>
#include <harness/child_process.h>

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace postpaddle::test {

/// A stand-in for a platform server.
struct server_plan {
    std::string id;
    std::string service = "plain";
    std::string stage{}; ///< Empty, `prefill` or `decode`.
    std::string zone = "east";
    std::string fatal_part{};       ///< Part of a prompt under which it exits.
    int event_ms = 5;               ///< Time that a request, or one event of a stream, takes.
    int events = 5;                 ///< Events of a stream.
    std::string software_version{}; ///< In its registry entry and in its events; empty: `v1`, not in events.
    bool names_requests =
        false;             ///< Whether answers name their request and streams are as long as it asks for.
    std::string run_log{}; ///< Path of the server's run log; empty for none.
};

/// A service with a route of its own.
struct service_plan {
    std::string name;
    std::string route_kind; ///< `idempotent`, `non_idempotent` or `streaming`, whose service has engines.
};

/// What happens to the links between a host and servers.
enum class link_fault {
    none,
    hang,       ///< New connections hang; open ones are silent.
    reset,      ///< New connections are refused; open ones are closed.
    hang_new,   ///< New connections hang; open ones live on.
    refuse_new, ///< New connections are refused; open ones live on.
};

struct gateway_cluster_options {
    std::string name; ///< Name of the folder for logs.
    std::vector<server_plan> servers;
    int hosts = 1;
    bool has_configuration = true;  ///< Whether a configuration is published before the hosts start.
    double retry_slack = 1'000'000; ///< High enough that a newly started host can retry.
    bool has_datagrams = true;      ///< Whether hosts exchange datagrams.
    int heartbeat_ms = 200;         ///< Interval between heartbeats of a host.
    double cold_requests = 0;       ///< Requests per second that a cold server accepts; 0 for no limit.
    bool admits_by_load = true;     ///< Whether plain requests wait or are refused by upstreams' load.
    int store_bytes_per_s = 0;      ///< Bandwidth of the link from the store to each host; 0 for no limit.
    int connections = 1'500;        ///< Maximum number of connections from callers of a host.
    int leaving_bound_ms = 2'000;   ///< Until a leaving server gets no new requests.
    int grace_ms = 8'000;           ///< Grace period of a host's stop.
    int settings_bound_ms = 2'000;  ///< Until a version of the settings is in force on every host.
    int memory_mb = 0;              ///< That a host may use; 0: as much as the system allows.
    int linked_hosts = 0; ///< Hosts, from the first on, that reach each server over a link of their own.
};

/// Gateway hosts, the platform's store and its servers as real processes on loopback addresses.
class gateway_cluster {
public:
    explicit gateway_cluster(gateway_cluster_options options);

    /// Starts a host on the loopback address of its number.
    void start_host(int number);
    /// Has a running host read its settings file again, with that line of YAML in addition.
    void reload_host(int number, const std::string& line);
    /// Has a running host read its settings file again, with that grace period.
    void reload_with_grace(int number, std::chrono::milliseconds grace);
    [[nodiscard]] stand_in::child_process& host(int number) { return *this->hosts.at(number); }
    /// Whether the host's readiness check succeeds within that time.
    [[nodiscard]] bool is_ready(int number,
                                std::chrono::milliseconds timeout = std::chrono::seconds(20)) const;
    /// Whether the host has read the list of hosts, without which it has no share of the retry budget's
    /// slack.
    [[nodiscard]] bool has_host_list(int number) const;
    [[nodiscard]] nlohmann::json state_of(int number) const;
    /// The host's loopback address, which is also its source address at the store.
    [[nodiscard]] std::string host_ip(int number) const;
    /// Value of a metric of the host; 0 if it does not exist.
    [[nodiscard]] double metric(int number, const std::string& name) const;
    [[nodiscard]] std::string callers_address(int number = 1) const;
    /// Address of the readiness check.
    [[nodiscard]] std::string readiness_address(int number = 1) const;
    /// Address for the other hosts and for operators.
    [[nodiscard]] std::string peers_address(int number = 1) const;

    /// Port for datagrams, the same for each host's address.
    [[nodiscard]] int datagram_port() const { return this->load_port; }

    /// Publishes a configuration: the cluster's routes and, with `has_extra_route`, one below `/extra/`.
    void publish(int version, bool has_extra_route = false);
    /// Publishes a configuration with these `limits`; those that are not named stay as they are.
    void publish_limits(int version, const nlohmann::json& limits);
    /// Publishes a configuration with that many additional routes; returns its size in bytes.
    std::size_t publish_large(int version, int more_routes);
    /// Publishes a configuration with further services and these `limits`. Each has a route `/NAME/`.
    void publish_services(int version, const std::vector<service_plan>& services,
                          const nlohmann::json& limits);
    /// Publishes an arbitrary configuration; returns after the store has taken it.
    void publish_document(const nlohmann::json& configuration);
    /// Publishes a configuration with organisations, each with `name`, `apiKeys` and its limit, and a route
    /// `/open/` that needs no key.
    void publish_organisations(int version, const nlohmann::json& organisations);
    /// Registers a server that the cluster did not start. `stage` is empty, `prefill` or `decode`.
    void register_address(const std::string& id, const std::string& service, const std::string& address,
                          const std::string& stage = "");
    /// Registers a new id for a server of that service, at the address of a running server.
    void register_at(const std::string& id, const std::string& service, const std::string& running_id);
    /// Writes a server's registry entry.
    void register_server(const std::string& id, const std::string& state, int sequence,
                         std::uint64_t born = 0);
    /// Writes a registry entry of a server that stays cold for `cold_ms`.
    void register_cold(const std::string& id, int sequence, int cold_ms);
    /// Writes an arbitrary, possibly invalid text as a registry entry.
    void register_text(const std::string& id, const std::string& text);
    /// Sets faults of the store; returns its counters.
    nlohmann::json store(const nlohmann::json& control = nlohmann::json::object());
    /// Has the store forget the history of these topics, with a record that nobody has read yet, so that
    /// reads which wait for one are answered that the history is gone.
    void forget_history(const std::vector<std::string>& topics);
    /// Removes a server's registry entry, and has the store forget the history in the same step.
    void drop_server_and_history(const std::string& id);
    /// Folder of the processes' logs and settings files.
    [[nodiscard]] const std::string& log_folder() const { return this->folder; }
    /// Bytes received from the store over the host's link; the link must have a limit.
    [[nodiscard]] std::uint64_t bytes_from_store(int number) const;
    /// Sets faults of a server; returns its counters.
    nlohmann::json server(const std::string& id, const nlohmann::json& control = nlohmann::json::object());
    /// Sets the fault of the links between a host and these servers; without ids, of all. Needs
    /// `linked_hosts`.
    void set_links(int host, link_fault fault, const std::vector<std::string>& ids = {});
    /// Closes each connection between a host and these servers after that many bytes of answers; -1: none.
    void cut_answers(int host, int after_bytes, const std::vector<std::string>& ids);
    /// Removes a server's registry entry.
    void drop_server(const std::string& id);
    /// Kills a server's process; its registry entry stays.
    void kill_server(const std::string& id);
    /// The same, unless it was killed so before. Links to it refuse connections for good, as its port does.
    void kill_server_and_links(const std::string& id);
    /// Sends a signal to a server's process.
    void signal_server(const std::string& id, int signal);
    /// Restarts a server, killing its process first: same id and address, registered with the new `born`.
    void restart_server(const std::string& id, std::uint64_t born);
    /// Starts a server that the cluster did not begin with, and registers it.
    void add_server(const server_plan& plan);
    /// Whether the server's process answers.
    [[nodiscard]] bool is_serving(const std::string& id);
    [[nodiscard]] std::string server_address(const std::string& id) const {
        return this->server_addresses.at(id);
    }
    /// Requests that arrived at a server, without prefill-only ones.
    [[nodiscard]] int arrivals(const std::string& id);
    /// Requests that all servers of the cluster ran.
    [[nodiscard]] int runs();

private:
    void set_link_faults(int host, nlohmann::json faults, const std::vector<std::string>& ids);
    /// Writes a host's settings file, with that line of YAML at its end; returns its path.
    std::string write_settings(int number, const std::string& line = "");
    /// Starts a server's process; port 0 lets the system choose.
    void start_server(const std::string& id, int port);
    void put_registry_entry(const std::string& id, const nlohmann::json& entry);
    [[nodiscard]] std::string host_address(int number, int port) const;
    /// The loopback address of all servers. Nothing connects from it, and no other cluster uses it, so the
    /// port of a server that has exited stays free until it is started again.
    [[nodiscard]] std::string servers_ip() const;
    /// Address of the store for the host: through a link of its own if links are limited.
    [[nodiscard]] std::string store_address(int number);
    void start_proxy();
    /// Creates a link from each linked host to each server, whose address the store names to that host.
    void create_server_links();
    void add_server_links(const std::string& id);

    gateway_cluster_options options;
    std::string folder;
    std::string network; ///< First three octets of the cluster's addresses, with a trailing dot.
    std::unique_ptr<stand_in::child_process> store_process;
    std::string store_port;
    std::unique_ptr<stand_in::child_process> proxy; ///< Set if links are limited.
    std::string proxy_control;
    nlohmann::json links = nlohmann::json::object(); ///< By host and server: the address of the link.
    std::map<std::string, std::unique_ptr<stand_in::child_process>> servers;
    std::map<std::string, std::string> server_addresses;
    std::set<std::string> killed_servers; ///< Those whose links refuse connections for good.
    std::map<std::string, server_plan> plans;
    std::map<int, std::unique_ptr<stand_in::child_process>> hosts;
    int callers_port;
    int readiness_port;
    int peers_port;
    int load_port;
};

/// Topics of the store's that hosts follow.
inline constexpr const char* server_topic = "keyed.servers";
inline constexpr const char* operator_topic = "keyed.op";

/// Version of the settings in force on a host; 0 if there are none or it does not answer.
[[nodiscard]] int settings_version_at(const gateway_cluster& cluster, int host);

/// Status of a host's response to a request to that path; 0 if there is none.
[[nodiscard]] int status_at(const gateway_cluster& cluster, int host, const std::string& path);

/// A request to one of the cluster's routes: `/once/`, `/again/`, `/stream/` (not retried) and `/resume/`.
[[nodiscard]] wire::http_request routed_request(const std::string& path, const std::string& id);

} // namespace postpaddle::test
