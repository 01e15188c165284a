// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <support/gateway_cluster.h>

#include <chrono>
#include <string>
#include <vector>

namespace postpaddle::test {

/// Hosts of a cluster, by number; both ends are included.
struct host_range {
    int first = 1;
    int last = 1;
};

/// Sends requests to the hosts for that time: plain ones, and streams that may be resumed.
void call_hosts(const gateway_cluster& cluster, const host_range& hosts, std::chrono::milliseconds length);

/// Requests that the servers receive from the hosts in `length`, from `bound` after now on.
[[nodiscard]] int late_arrivals(gateway_cluster& cluster, const std::vector<std::string>& servers,
                                const host_range& hosts, std::chrono::milliseconds bound,
                                std::chrono::milliseconds length);

/// Of a plain request and a stream that may be resumed to each host, those that are served.
[[nodiscard]] int count_served(const gateway_cluster& cluster, const host_range& hosts);

/// Whether the host comes to list the server, or not to, before long.
[[nodiscard]] bool await_listing(const gateway_cluster& cluster, int host, const std::string& server,
                                 bool is_listed);

/// What each host knows of a server, and why it doubts that entries which go belong to servers that leave.
[[nodiscard]] std::string describe_listing(const gateway_cluster& cluster, const std::string& server,
                                           const host_range& hosts);

} // namespace postpaddle::test
