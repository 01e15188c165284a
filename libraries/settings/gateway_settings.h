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

/// Limit on the retries that all hosts together send to a service within a window.
struct retry_budget_settings {
    double ratio = 0.2; ///< Fraction of the service's requests.
    double slack = 20;  ///< Additional retries, for all hosts together.
    std::chrono::milliseconds window{10'000};

    bool operator==(const retry_budget_settings&) const = default;
};

/// Settings of a gateway host, from its own file. A field that is missing or left empty is no error: the file
/// may be filled where the value is not known.
struct gateway_settings {
    base::host_id name; ///< The address for other hosts unless the file gives one.
    base::zone_id availability_zone;
    std::map<base::zone_id, base::region_id> regions; ///< Empty if all zones are in one region.
    /// Address to listen on: IP address and port; port 0 lets the system choose. One that the file doesn't
    /// give has the IP address of the others.
    std::string callers;
    std::string readiness; ///< Address of the readiness check.
    std::string readiness_path = "/readyz";
    std::string peers;              ///< Address for other hosts and operators.
    std::uint16_t load_port = 0;    ///< UDP port for load reports, the same on all hosts; 0 disables them.
    std::string metrics;            ///< Address of the metrics endpoint; empty for none.
    std::vector<std::string> seeds; ///< Peers to contact while the store is unreachable; may be outdated.
    std::string store;              ///< Address of the platform's store; empty if it is not known.
    bool is_first_start = false;    ///< No host of the system has served any request before.
    std::chrono::milliseconds grace_period{8'000};       ///< Maximum time from the stop signal to the exit.
    std::chrono::milliseconds balancer_delay{2'500};     ///< Until the balancer notices the readiness change.
    std::chrono::milliseconds registry_interval{300};    ///< Minimum pause between two reads of the registry.
    std::chrono::milliseconds max_settings_delay{2'000}; ///< Until a new version is in force on every host.
    std::chrono::milliseconds max_leaving_delay{2'000};  ///< Until a leaving upstream gets no new requests.
    std::chrono::milliseconds heartbeat{1'000};          ///< Interval between two heartbeats.
    std::size_t connections = 1'500; ///< Maximum number of concurrent connections from callers.
    std::uint64_t memory_bytes = 0;  ///< That the process may use; 0: only the system's limits apply.
    double max_retry_after = 5;      ///< Maximum `Retry-After` for a refused caller, in seconds.
    retry_budget_settings retries;
    std::chrono::milliseconds min_order_pause{3'000}; ///< Minimum pause between orders of different hosts.
    bool do_engines_check_tokens = false; ///< Whether engines reject orders with an outdated fencing token.
    gateway_policy policy;
    std::string log_level = "info";
    int log_lines_per_second = 200;

    bool operator==(const gateway_settings&) const = default;
};

/// Returns whether a document is a gateway host's settings file rather than an entry host's.
[[nodiscard]] bool is_gateway_document(const std::string& text);

/// Parses and validates a gateway host's settings file. The error lists all problems, not only the first.
[[nodiscard]] tl::expected<gateway_settings, problems> parse_gateway_settings(const std::string& text,
                                                                              const std::string& file);

} // namespace postpaddle::settings
