// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_state.h>
#include <host/sender_rate_limiter.h>

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace postpaddle::gateway {

/// Type of a datagram between hosts; its first byte.
enum class datagram_kind : char {
    load = 'l',           ///< Work in progress on a host.
    store_update = 's',   ///< What a leader of a cell has read of the store.
    store_query = 'a',    ///< Asks what a host knows of the store.
    quarantine = 'q',     ///< Requests suspected of crashing upstreams.
    stream_origin = 'o',  ///< What began a stream.
    stream_journal = 'j', ///< Records of streams in the store.
};

/// Datagrams between hosts. Lost datagrams are made up for by later ones; malformed ones are counted and
/// dropped.
class peer_datagrams {
public:
    /// Handles a datagram without its type byte; returns whether it could be decoded.
    using handler = std::function<bool(std::string_view)>;

    explicit peer_datagrams(gateway_state& state);

    /// Binds the socket if the settings name a port.
    [[nodiscard]] wire::expected<void> listen();
    /// Starts receiving.
    void start();
    [[nodiscard]] bool is_open() const { return this->socket.is_open(); }
    /// Sets the handler for that type.
    void on(datagram_kind kind, handler handle) { this->handlers[kind] = std::move(handle); }
    /// Sends to the hosts with these heartbeat addresses.
    void send(datagram_kind kind, const std::string& bytes, const std::vector<std::string>& addresses);

private:
    void receive();
    /// Whether the sender of the received datagram is within its rate limit.
    [[nodiscard]] bool is_accepted();
    void handle(std::string_view bytes);

    gateway_state* state;
    wire::asio::ip::udp::socket socket;
    wire::asio::ip::udp::endpoint sender;
    std::array<char, 65'536> datagram{};
    std::map<datagram_kind, handler> handlers;
    host::sender_rate_limiter guard;
};

} // namespace postpaddle::gateway
