// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <wire/connection_pool.h>
#include <wire/wire_error.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace postpaddle::wire {

/// Client for the JSON-RPC methods of other hosts (over HTTP).
class peer_client {
public:
    peer_client(asio::io_context& context, std::string token);

    /// Calls a method with a JSON payload and returns the JSON text of its result. `timeout` applies to the
    /// response's head and then to each part of its body.
    [[nodiscard]] expected<std::string> call(const std::string& address, const std::string& method,
                                             const std::string& payload, std::chrono::milliseconds timeout,
                                             yield_context yield);
    /// Bytes sent and received since the start.
    [[nodiscard]] std::uint64_t traffic_bytes() const { return this->traffic; }

private:
    connection_pool pool;
    std::string token;
    std::uint64_t traffic = 0;
};

/// Header field with the hosts' shared token.
inline constexpr const char* peer_token_header = "Postpaddle-Peer-Token";

} // namespace postpaddle::wire
