// SPDX-License-Identifier: BSD-2-Clause
#include <fault_proxy/proxy_link.h>

#include <wire/endpoint.h>

#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace postpaddle::stand_in {

namespace {

constexpr std::size_t buffer_bytes = 16UL * 1024;
constexpr auto poll_interval = std::chrono::milliseconds(5);

} // namespace

proxy_link::proxy_link(wire::asio::io_context& context, std::string target)
    : context(&context), target(std::move(target)),
      acceptor(context, {wire::asio::ip::address_v4::loopback(), 0}),
      endpoint(this->acceptor.local_endpoint()) {}

void proxy_link::start() {
    wire::spawn_coroutine(*this->context, [self = this->shared_from_this()](wire::yield_context yield) {
        self->accept(yield);
    });
}

void proxy_link::set_faults(const link_faults& new_faults) {
    this->active_faults = new_faults;
    if (new_faults.is_disconnected)
        for (const auto& connection : std::exchange(this->open_connections, {}))
            close(*connection);
    this->update_port();
}

void proxy_link::update_port() {
    wire::error_code ignored;
    this->queued.clear();
    // A pending accept would take what is to stay in the queue.
    this->acceptor.close(ignored);
    if (this->active_faults.refuses_new)
        return;
    this->acceptor.open(this->endpoint.protocol(), ignored);
    this->acceptor.set_option(wire::asio::ip::tcp::acceptor::reuse_address(true), ignored);
    this->acceptor.bind(this->endpoint, ignored);
    if (this->active_faults.hangs_new) {
        this->acceptor.listen(0, ignored);
        this->fill_queue();
        return;
    }
    this->acceptor.listen(wire::asio::ip::tcp::acceptor::max_listen_connections, ignored);
    this->start();
}

void proxy_link::fill_queue() {
    // One more than the kernel accepts for an empty queue. Further opening packets are dropped.
    static constexpr int connections = 2;
    for (int number = 0; number < connections; ++number) {
        socket& filler = this->queued.emplace_back(*this->context);
        filler.async_connect(this->endpoint, [](const wire::error_code& /*error*/) {});
    }
}

void proxy_link::close(proxied_connection& connection) {
    wire::error_code ignored;
    connection.client.close(ignored);
    connection.server.close(ignored);
}

void proxy_link::accept(wire::yield_context yield) {
    while (true) {
        wire::error_code error;
        auto connection = std::make_shared<proxied_connection>(
            proxied_connection{socket(*this->context), socket(*this->context)});
        this->acceptor.async_accept(connection->client, yield[error]);
        if (error)
            return;
        ++this->accepted;
        if (this->active_faults.is_disconnected) {
            close(*connection);
            continue;
        }
        wire::spawn_coroutine(
            *this->context, [self = this->shared_from_this(), connection](wire::yield_context own) {
                wire::error_code connect_error;
                const auto endpoint = wire::parse_endpoint(self->target);
                connection->server.async_connect(*endpoint, own[connect_error]);
                if (connect_error) {
                    close(*connection);
                    return;
                }
                self->open_connections.insert(connection);
                wire::spawn_coroutine(*self->context, [self, connection](wire::yield_context back) {
                    self->forward(connection, true, back);
                });
                self->forward(connection, false, own);
            });
    }
}

void proxy_link::apply_delay(bool is_response, wire::yield_context yield) const {
    wire::error_code ignored;
    wire::boot_timer timer(*this->context);
    if (this->active_faults.delay_ms > 0) {
        timer.expires_after(std::chrono::milliseconds(this->active_faults.delay_ms));
        timer.async_wait(yield[ignored]);
    }
    while (this->active_faults.is_stalled || (is_response && this->active_faults.is_response_stalled)) {
        timer.expires_after(poll_interval);
        timer.async_wait(yield[ignored]);
    }
}

void proxy_link::throttle(std::size_t bytes, wire::yield_context yield) {
    if (this->active_faults.response_bytes_per_second <= 0)
        return;
    const auto length = std::chrono::duration<double>(
        static_cast<double>(bytes) / static_cast<double>(this->active_faults.response_bytes_per_second));
    this->link_free_at = std::max(this->link_free_at, base::boot_clock::now()) +
                         std::chrono::duration_cast<base::boot_clock::duration>(length);
    wire::error_code ignored;
    wire::boot_timer timer(*this->context, this->link_free_at);
    timer.async_wait(yield[ignored]);
}

void proxy_link::forward(const std::shared_ptr<proxied_connection>& connection, bool is_response,
                         wire::yield_context yield) {
    socket& from = is_response ? connection->server : connection->client;
    socket& to = is_response ? connection->client : connection->server;
    std::array<char, buffer_bytes> chunk{};
    wire::error_code error;
    while (!error) {
        std::size_t count = from.async_read_some(wire::asio::buffer(chunk), yield[error]);
        if (error)
            break;
        this->apply_delay(is_response, yield);
        const bool has_limit = is_response && this->active_faults.max_response_bytes >= 0;
        if (has_limit && connection->forwarded_response_bytes + static_cast<std::int64_t>(count) >
                             this->active_faults.max_response_bytes) {
            count = static_cast<std::size_t>(std::max<std::int64_t>(
                0, this->active_faults.max_response_bytes - connection->forwarded_response_bytes));
            wire::asio::async_write(to, wire::asio::buffer(chunk.data(), count), yield[error]);
            break;
        }
        if (is_response) {
            this->throttle(count, yield);
            connection->forwarded_response_bytes += static_cast<std::int64_t>(count);
            this->forwarded_response_bytes += count;
        }
        wire::asio::async_write(to, wire::asio::buffer(chunk.data(), count), yield[error]);
    }
    close(*connection);
    this->open_connections.erase(connection);
}

} // namespace postpaddle::stand_in
