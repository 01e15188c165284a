// SPDX-License-Identifier: BSD-2-Clause
#include <wire/http_listener.h>

#include <wire/endpoint.h>

#include <base/try.h>

#include <sys/socket.h>

#include <algorithm>

namespace postpaddle::wire {

using tcp = asio::ip::tcp;

namespace {

using reuse_port = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

/// Delay after a failed accept, for example if the process has no file descriptors left.
constexpr auto accept_retry_delay = std::chrono::milliseconds(20);

} // namespace

http_listener::http_listener(asio::io_context& context, const listener_options& options)
    : context(&context), options(options),
      acceptor(context), intake{.account = options.account, .turns = std::make_shared<read_turns>(context)},
      limit(options.connections) {
    if (!this->intake.account)
        this->intake.account = std::make_shared<collected_data>(options.account_bytes);
}

expected<std::shared_ptr<http_listener>> http_listener::create(asio::io_context& context,
                                                               const listener_options& options) {
    POSTPADDLE_TRY(endpoint, parse_endpoint(options.address + ":" + std::to_string(options.port)));
    // NOTE: make_shared can't call the private constructor.
    std::shared_ptr<http_listener> listener(new http_listener(context, options));
    error_code error;
    listener->acceptor.open(endpoint.protocol(), error);
    if (!error)
        listener->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error && options.sharing == port_sharing::shared)
        listener->acceptor.set_option(reuse_port(true), error);
    if (!error)
        listener->acceptor.bind(endpoint, error);
    if (!error)
        listener->acceptor.listen(tcp::acceptor::max_listen_connections, error);
    if (error)
        return tl::make_unexpected(wire_error{wire_failure::bad_address, error.message()});
    return listener;
}

void http_listener::start(connection_handler handler) {
    this->handler = std::move(handler);
    spawn_coroutine(*this->context,
                    [self = this->shared_from_this()](yield_context yield) { self->accept_loop(yield); });
}

void http_listener::stop() {
    error_code ignored;
    this->acceptor.close(ignored);
}

void http_listener::close_idle_connections() {
    for (const auto& connection : this->open_connections)
        connection->close_when_idle();
}

std::size_t http_listener::partial_requests() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        this->open_connections, [](const auto& connection) { return connection->has_partial_request(); }));
}

std::uint16_t http_listener::port() const { return this->acceptor.local_endpoint().port(); }

void http_listener::accept_loop(yield_context yield) {
    while (this->acceptor.is_open()) {
        error_code error;
        tcp::socket socket(*this->context);
        this->acceptor.async_accept(socket, yield[error]);
        if (!this->acceptor.is_open())
            return;
        if (error) {
            boot_timer pause(*this->context, accept_retry_delay);
            pause.async_wait(yield[error]);
            continue;
        }
        if (this->limit.may_open())
            this->serve(std::move(socket));
    }
}

void http_listener::serve(tcp::socket socket) {
    auto connection =
        std::make_shared<caller_connection>(std::move(socket), this->options.bounds, this->intake);
    this->open_connections.insert(connection);
    this->limit.set_open(this->open_connections.size());
    spawn_coroutine(*this->context, [self = this->shared_from_this(), connection](yield_context yield) {
        self->handler(*connection, yield);
        self->open_connections.erase(connection);
        self->limit.set_open(self->open_connections.size());
    });
}

} // namespace postpaddle::wire
