// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_state.h>

#include <boost/asio/ip/udp.hpp>

#include <array>

namespace postpaddle::gateway {

/// Tells the other hosts, by datagrams, what this one has in progress at each engine, and hears theirs.
///
/// A report goes out a few milliseconds after a change and now and then besides; it is always whole, so a
/// lost one is healed by the next, and what is stale costs time, never a promise.
class load_exchange {
public:
    explicit load_exchange(gateway_state& state);

    /// Binds the datagram socket.
    [[nodiscard]] wire::expected<void> listen();
    /// Starts hearing and telling.
    void start();

private:
    void hear();
    void take(std::size_t size);
    void did_change();
    void tell();
    void refresh();
    [[nodiscard]] host::load_report own_report();

    gateway_state* state;
    wire::asio::ip::udp::socket socket;
    wire::asio::ip::udp::endpoint sender;
    std::array<char, 65'536> datagram{};
    wire::asio::steady_timer tell_timer;
    wire::asio::steady_timer refresh_timer;
    bool is_telling_due = false;
    bool has_told_work = false;
    std::uint64_t incarnation;
    std::uint64_t sequence = 0;
};

} // namespace postpaddle::gateway
