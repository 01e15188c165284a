// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <wire/asio.h>
#include <wire/caller_connection.h>
#include <wire/connection_limit.h>
#include <wire/wire_error.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace postpaddle::wire {

/// Whether several listeners may share a port; the kernel then distributes connections among them.
enum class port_sharing { exclusive, shared };

struct listener_options {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; ///< 0 lets the operating system choose.
    port_sharing sharing = port_sharing::exclusive;
    bounds_source bounds = fixed_bounds({});
    /// Maximum open at once. Beyond it, a connection without a whole request in progress gives way to a new
    /// one; only if there is none the new one is closed.
    std::size_t connections = 4096;
    /// Accounts for what all connections hold for requests that arrive; null gives the listener its own
    /// account.
    std::shared_ptr<collected_data> account = nullptr;
    /// Of the listener's own account: bytes for all requests together, beside the room for a single one.
    std::uint64_t account_bytes = 16UL * 1024 * 1024;
};

/// Serves a connection. Runs in a coroutine; the connection ends when it returns.
using connection_handler = std::function<void(caller_connection&, yield_context)>;

/// Accepts connections and runs the handler for each of them.
class http_listener : public std::enable_shared_from_this<http_listener> {
public:
    /// Binds and listens. Fails with `bad_address` if the address is invalid or in use.
    [[nodiscard]] static expected<std::shared_ptr<http_listener>> create(asio::io_context& context,
                                                                         const listener_options& options);

    void start(connection_handler handler);
    /// Stops accepting. Open connections continue.
    void stop();
    /// Closes each connection as soon as it has no request in progress.
    void close_idle_connections();
    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] std::size_t connections() const { return this->open_connections.size(); }
    /// Whether further connections are taken; false from when as many requests as there may be connections
    /// are in progress, until part of them has ended.
    [[nodiscard]] bool has_room();
    /// Connections on which part of a request has been read.
    [[nodiscard]] std::size_t partial_requests() const;

private:
    http_listener(asio::io_context& context, const listener_options& options);
    void accept_loop(yield_context yield);
    void serve(asio::ip::tcp::socket socket);
    void run_handler(caller_connection& connection, yield_context yield);
    /// Whether there is a place for a new connection, if need be that of another one, which is closed.
    bool try_make_place();
    [[nodiscard]] std::size_t serving_connections() const;

    asio::io_context* context;
    listener_options options;
    asio::ip::tcp::acceptor acceptor;
    connection_handler handler;
    connection_intake intake;
    std::set<std::shared_ptr<caller_connection>> open_connections;
    std::map<std::string, std::size_t> places_by_source; ///< Open connections by their address.
    connection_limit limit;                              ///< Of requests in progress.
};

} // namespace postpaddle::wire
