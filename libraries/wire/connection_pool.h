// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <wire/asio.h>
#include <wire/upstream_connection.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace postpaddle::wire {

/// Which connections an exchange may use.
enum class connection_use {
    may_reuse,     ///< Any; on a stale connection `open_exchange` can retry with a new one.
    only_new,      ///< Only new connections, for requests that must not be sent twice.
    new_or_recent, ///< New ones, or ones used so recently that the server can't have closed them as idle.
};

/// Pool of idle HTTP connections by address. Not thread-safe.
///
/// Connections that have been idle longer than the server keeps them are closed even if their address is not
/// used again. Otherwise a host among a thousand, which sends each heartbeat to another one, would keep a
/// connection to each of them.
class connection_pool {
public:
    connection_pool(asio::io_context& context, const response_bounds& bounds);

    /// Connection taken from the pool, or a new one that is still to be connected.
    struct acquired_connection {
        std::shared_ptr<upstream_connection> connection;
        bool is_connected = false;
    };
    /// Returns no connection that has carried the request with this id, unless the id is empty.
    [[nodiscard]] acquired_connection acquire(const std::string& address, connection_use use,
                                              std::string_view request_id = {});
    /// Returns a connection to the pool, or closes it if it can't be reused.
    void release(const std::string& address, std::shared_ptr<upstream_connection> connection);
    [[nodiscard]] std::size_t idle_connections() const;
    /// Sets the address from which new connections are opened, so that servers recognise the host by it.
    void set_local_address(const asio::ip::address& address) { this->local_address = address; }
    /// Sets the maximum number of idle connections to each address.
    void set_max_idle_connections(std::size_t count) { this->max_idle_connections = count; }

private:
    asio::io_context* context;
    response_bounds bounds;
    std::optional<asio::ip::address> local_address;
    struct idle_connection {
        std::shared_ptr<upstream_connection> connection;
        base::boot_clock::time_point idle_since;
    };
    [[nodiscard]] static bool can_use(const idle_connection& entry, connection_use use);
    /// Whether the connection has been idle too long to be reused.
    [[nodiscard]] static bool is_expired(const idle_connection& entry);
    /// Closes the expired connections to all addresses, at most once in `eviction_interval`.
    void evict_expired();

    std::size_t max_idle_connections = 64;
    std::map<std::string, std::vector<idle_connection>>
        idle_by_address; ///< Most recently used connections last.
    base::boot_clock::time_point last_eviction{};
};

} // namespace postpaddle::wire
