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

/// An address to listen on; port 0 lets the system choose.
struct listen_settings {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;

    bool operator==(const listen_settings&) const = default;
};

/// Bounds on what comes from callers.
struct caller_bounds {
    std::size_t header_bytes = 16UL * 1024;
    std::size_t body_bytes = 4UL * 1024 * 1024;
    std::chrono::milliseconds request_read{10'000}; ///< Time to send one whole request.
    std::chrono::milliseconds idle{60'000};         ///< Time between two requests of a connection.
    std::size_t unsent_bytes = 256UL * 1024;        ///< Answer bytes held for a slow reader.
    std::chrono::milliseconds write{10'000};        ///< Time a slow reader may block one write.
    std::size_t connections = 4096;

    bool operator==(const caller_bounds&) const = default;
};

/// How a planned stop goes.
struct stop_settings {
    std::chrono::milliseconds balancer_lag{2'000}; ///< Time for the balancer to see `/readyz` go down.
    std::chrono::milliseconds limit{60'000};       ///< After this, requests in progress are cut.

    bool operator==(const stop_settings&) const = default;
};

/// Everything one process is told by its own file.
struct process_settings {
    base::host_id name;
    base::zone_id availability_zone;
    std::string region = "default";
    listen_settings callers;
    listen_settings operators;
    std::string operators_token;
    listen_settings peers;
    std::string peers_token; ///< Shared by the hosts; peers without it are refused.
    std::string log_address;
    std::string host_list_address;
    int relay_threads = 2;
    std::size_t ring_capacity = 4096;
    std::string policy = "postpaddle"; ///< Decision function; the others are baselines for benches.
    caller_bounds bounds;
    stop_settings stop;
    std::chrono::milliseconds gossip_interval{500};
    std::string log_level = "info";

    bool operator==(const process_settings&) const = default;
};

/// Reads and checks a process settings document, naming every problem at once.
[[nodiscard]] tl::expected<process_settings, problems> parse_process_settings(const std::string& text,
                                                                              const std::string& file);

} // namespace postpaddle::settings
