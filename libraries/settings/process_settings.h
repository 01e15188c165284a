// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/identifier.h>
#include <settings/problem.h>

#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace postpaddle::settings {

/// An address to listen on; with port 0 the system chooses a free port.
struct listen_settings {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;

    bool operator==(const listen_settings&) const = default;
};

/// Limits on callers' connections and requests.
struct caller_bounds {
    std::size_t header_bytes = 16UL * 1024;
    std::size_t body_bytes = 4UL * 1024 * 1024;
    std::chrono::milliseconds request_read_timeout{10'000}; ///< To receive a complete request.
    std::chrono::milliseconds idle_timeout{60'000};         ///< Between two requests on a connection.
    std::size_t unsent_bytes = 256UL * 1024;                ///< Response bytes buffered for a slow reader.
    std::chrono::milliseconds write_timeout{10'000};        ///< To complete one write to a slow reader.
    std::size_t connections = 4096;

    bool operator==(const caller_bounds&) const = default;
};

/// Timing of a graceful shutdown.
struct stop_settings {
    std::chrono::milliseconds balancer_delay{2'000}; ///< Until the balancer notices that `/readyz` fails.
    std::chrono::milliseconds drain_timeout{60'000}; ///< After it, requests in progress are aborted.

    bool operator==(const stop_settings&) const = default;
};

/// Settings of an entry host process, from its own file.
struct process_settings {
    base::host_id name;
    base::zone_id availability_zone;
    std::string region = "default";
    listen_settings callers;
    listen_settings operators;
    std::string operators_token;
    listen_settings peers;
    std::string peers_token; ///< Shared by all hosts; requests from peers without it are rejected.
    std::string log_address;
    std::string host_list_address;
    int relay_threads = 2;
    std::size_t ring_capacity = 4096;
    std::string policy = "postpaddle"; ///< Routing policy; the others are baselines for benchmarks.
    caller_bounds bounds;
    stop_settings stop;
    std::chrono::milliseconds gossip_interval{500};
    std::string log_level = "info";

    bool operator==(const process_settings&) const = default;
};

/// Parses and validates a process settings document. The error lists all problems, not only the first.
[[nodiscard]] tl::expected<process_settings, problems> parse_process_settings(const std::string& text,
                                                                              const std::string& file);

} // namespace postpaddle::settings
