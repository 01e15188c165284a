// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <wire/asio.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace postpaddle::stand_in {

/// Faults injected into a link. "Response" means the direction towards the client.
struct link_faults {
    bool is_disconnected = false;         ///< Closes open connections and new ones on accept.
    bool refuses_new = false;             ///< New connections are refused, as by a closed port.
    bool hangs_new = false;               ///< New connections never come up, as over a link that drops all.
    bool is_stalled = false;              ///< Forwards nothing in either direction.
    bool is_response_stalled = false;     ///< Forwards no response bytes.
    int delay_ms = 0;                     ///< Before each chunk is forwarded.
    std::int64_t max_response_bytes = -1; ///< Per connection, which is then closed; -1: no limit.
    /// All connections together; 0: no limit.
    std::int64_t response_bytes_per_second = 0;
};

/// Listens on a port of its own and forwards connections to a target address.
class proxy_link : public std::enable_shared_from_this<proxy_link> {
public:
    proxy_link(wire::asio::io_context& context, std::string target);

    void start();
    [[nodiscard]] std::uint16_t port() const { return this->endpoint.port(); }
    /// Replaces the faults. Disconnecting closes the open connections.
    void set_faults(const link_faults& new_faults);
    [[nodiscard]] const link_faults& faults() const { return this->active_faults; }
    [[nodiscard]] std::uint64_t accepted_connections() const { return this->accepted; }
    /// Response bytes forwarded on all connections.
    [[nodiscard]] std::uint64_t response_bytes() const { return this->forwarded_response_bytes; }

private:
    using socket = wire::asio::ip::tcp::socket;

    struct proxied_connection {
        socket client;
        socket server;
        std::int64_t forwarded_response_bytes = 0;
    };

    void accept(wire::yield_context yield);
    /// Opens the port, closes it, or lets its queue of new connections overflow, as the faults say.
    void update_port();
    void fill_queue();
    void forward(const std::shared_ptr<proxied_connection>& connection, bool is_response,
                 wire::yield_context yield);
    void apply_delay(bool is_response, wire::yield_context yield) const;
    /// Waits until the bandwidth limit allows this chunk, after those already accepted.
    void throttle(std::size_t bytes, wire::yield_context yield);
    static void close(proxied_connection& connection);

    wire::asio::io_context* context;
    std::string target;
    wire::asio::ip::tcp::acceptor acceptor;
    wire::asio::ip::tcp::endpoint endpoint; ///< Stays the same while the port is closed.
    std::vector<socket> queued;             ///< Own connections that keep the port's queue full.
    link_faults active_faults;
    std::set<std::shared_ptr<proxied_connection>> open_connections;
    std::uint64_t accepted = 0;
    std::uint64_t forwarded_response_bytes = 0;
    /// When all accepted chunks are sent at the bandwidth limit.
    base::boot_clock::time_point link_free_at{};
};

} // namespace postpaddle::stand_in
