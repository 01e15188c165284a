// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <wire/connection_pool.h>
#include <wire/wire_error.h>

#include <string>
#include <vector>

namespace postpaddle::wire {

/// Entry host as listed by the platform. The list may be out of date.
struct listed_host {
    std::string name;
    std::string peers_address;
    bool is_leaving = false;

    bool operator==(const listed_host&) const = default;
};

struct host_list {
    std::vector<listed_host> hosts;
    std::vector<std::string> leaving_upstreams; ///< Upstreams that the platform is about to stop.

    bool operator==(const host_list&) const = default;
};

/// Client of the platform's host list (HTTP with JSON).
class host_list_client {
public:
    host_list_client(asio::io_context& context, std::string address);

    [[nodiscard]] expected<host_list> read(yield_context yield);
    /// Adds this host to the list. Only stand-in host lists need it: the platform knows the hosts it starts.
    [[nodiscard]] expected<void> register_host(const listed_host& host, yield_context yield);

private:
    connection_pool pool;
    std::string address;
};

} // namespace postpaddle::wire
