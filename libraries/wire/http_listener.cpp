// SPDX-License-Identifier: BSD-2-Clause
#include <wire/http_listener.h>

#include <wire/endpoint.h>

#include <base/try.h>

#include <sys/socket.h>

#include <algorithm>
#include <new>
#include <vector>

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
        try {
            if (this->try_make_place())
                this->serve(std::move(socket));
        } catch (const std::bad_alloc&) {
            // There is no memory for this connection. The other ones go on.
        }
    }
}

void http_listener::serve(tcp::socket socket) {
    auto connection =
        std::make_shared<caller_connection>(std::move(socket), this->options.bounds, this->intake);
    this->open_connections.insert(connection);
    ++this->places_by_source[connection->source()];
    const auto remove = [this, connection] {
        this->open_connections.erase(connection);
        const auto places = this->places_by_source.find(connection->source());
        if (--places->second == 0)
            this->places_by_source.erase(places);
    };
    try {
        spawn_coroutine(*this->context,
                        [self = this->shared_from_this(), connection, remove](yield_context yield) {
                            self->run_handler(*connection, yield);
                            remove();
                        });
    } catch (const std::bad_alloc&) {
        remove();
        throw;
    }
}

void http_listener::run_handler(caller_connection& connection, yield_context yield) {
    try {
        this->handler(connection, yield);
    } catch (const std::bad_alloc&) {
        connection.abort();
    }
}

bool http_listener::try_make_place() {
    if (this->open_connections.size() < this->options.connections)
        return true;
    std::vector<place_holder> holders;
    std::vector<caller_connection*> connections;
    for (const auto& connection : this->open_connections) {
        place_holder holder = connection->place();
        if (holder.is_serving || connection->is_closed())
            continue;
        holder.source_places = this->places_by_source.at(connection->source());
        holders.push_back(holder);
        connections.push_back(connection.get());
    }
    while (const auto chosen = choose_to_give_way(holders)) {
        // What has arrived may be a whole request.
        if (!connections[*chosen]->has_unread_input()) {
            connections[*chosen]->disconnect(connection_end::gave_way);
            return true;
        }
        holders[*chosen].is_serving = true;
    }
    this->limit.set_open(this->options.connections);
    return false;
}

std::size_t http_listener::serving_connections() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        this->open_connections, [](const auto& connection) { return connection->place().is_serving; }));
}

bool http_listener::has_room() {
    this->limit.set_open(this->serving_connections());
    return this->limit.has_room();
}

} // namespace postpaddle::wire
