// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/identifier.h>
#include <settings/gateway_policy.h>
#include <settings/problem.h>

#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace postpaddle::settings {

/// Retries that all hosts together may add to a service within a window.
struct retry_budget_settings {
    double ratio = 0.2; ///< Of the service's requests.
    double slack = 20;  ///< On top, over all hosts.
    std::chrono::milliseconds window{10'000};

    bool operator==(const retry_budget_settings&) const = default;
};

/// What a gateway host's own file tells it.
struct gateway_settings {
    base::host_id name;
    base::zone_id availability_zone;
    std::map<base::zone_id, base::region_id> regions; ///< Of each availability zone; empty where all are one.
    std::string callers;                              ///< Address to listen on, IP number and port.
    std::string readiness;                            ///< Address of the readiness check.
    std::string readiness_path = "/readyz";
    std::string peers;              ///< Address for the other hosts and for operators.
    std::uint16_t load_port = 0;    ///< UDP port, alike on all hosts, for telling each other their loads.
    std::string metrics;            ///< Address of the figures; empty for none.
    std::vector<std::string> seeds; ///< Peers to ask while the store is out of reach; may be stale.
    std::string store;              ///< Address of the platform's store.
    std::chrono::milliseconds grace{8'000};           ///< From the stop signal to the end, at most.
    std::chrono::milliseconds balancer_lag{2'500};    ///< From unready until no new connection comes.
    std::chrono::milliseconds registry_interval{300}; ///< Between two reads of the upstreams' registry.
    std::chrono::milliseconds settings_bound{2'000};  ///< Within it a new version is in force on every host.
    std::chrono::milliseconds leaving_bound{
        2'000};                                 ///< Within it a leaving upstream gets nothing new any more.
    std::chrono::milliseconds heartbeat{1'000}; ///< Between two heartbeats to a peer.
    std::size_t connections = 1'500;            ///< Callers' connections held at once.
    double retry_after_limit = 5;               ///< Longest wait told to a refused caller, in seconds.
    retry_budget_settings retries;
    std::chrono::milliseconds order_lease{3'000}; ///< Pause between orders of two hosts to engines, at least.
    bool do_engines_check_tokens = false; ///< Whether engines refuse orders with an older fencing token.
    gateway_policy policy;
    std::string log_level = "info";
    int log_lines_per_second = 200;

    bool operator==(const gateway_settings&) const = default;
};

/// Whether a document is a gateway host's file rather than an entry host's.
[[nodiscard]] bool is_gateway_document(const std::string& text);

/// Reads and checks a gateway host's file, naming every problem at once.
[[nodiscard]] tl::expected<gateway_settings, problems> parse_gateway_settings(const std::string& text,
                                                                              const std::string& file);

} // namespace postpaddle::settings
