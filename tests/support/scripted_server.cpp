// SPDX-License-Identifier: BSD-2-Clause
#include <support/scripted_server.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <poll.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <limits>
#include <optional>

namespace postpaddle::test {

namespace {

namespace asio = wire::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr int receive_buffer_bytes = 8 * 1024;

void replace_all(std::string& text, const std::string& name, const std::string& value) {
    for (auto at = text.find(name); at != std::string::npos; at = text.find(name, at + value.size()))
        text.replace(at, name.size(), value);
}

/// Waits until the client's system has received all that was sent, or the connection has ended.
void await_delivery(tcp::socket& socket) {
    constexpr int poll_ms = 1;
    pollfd ended{.fd = socket.native_handle(), .events = 0, .revents = 0};
    int unacknowledged = 1;
    while (ioctl(socket.native_handle(), TIOCOUTQ, &unacknowledged) == 0 && unacknowledged > 0)
        if (poll(&ended, 1, poll_ms) != 0)
            return;
}

void read_to_end(tcp::socket& socket, std::optional<std::uint64_t> bytes) {
    std::array<char, 64UL * 1024> part{};
    wire::error_code error;
    for (std::uint64_t received = 0; !error && (!bytes || received < *bytes);)
        received += socket.read_some(asio::buffer(part), error);
}

void end_connection(tcp::socket& socket, connection_ending ending, std::uint64_t unread_bytes) {
    wire::error_code ignored;
    switch (ending) {
    case connection_ending::none:
        return;
    case connection_ending::close:
        socket.shutdown(tcp::socket::shutdown_send, ignored);
        read_to_end(socket, std::nullopt);
        break;
    case connection_ending::close_after_upload:
        read_to_end(socket, unread_bytes);
        break;
    case connection_ending::close_then_reset:
        socket.shutdown(tcp::socket::shutdown_send, ignored);
        await_delivery(socket);
        [[fallthrough]];
    case connection_ending::reset:
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        break;
    }
    socket.close(ignored);
}

} // namespace

const char* to_text(connection_ending ending) {
    switch (ending) {
    case connection_ending::close:
        return "a close";
    case connection_ending::close_after_upload:
        return "a close after the upload";
    case connection_ending::close_then_reset:
        return "a close and a reset";
    case connection_ending::reset:
        return "a reset";
    case connection_ending::none:
        return "nothing";
    }
    return "unknown";
}

scripted_server::scripted_server() : acceptor(context) {
    const tcp::endpoint loopback(asio::ip::address_v4::loopback(), 0);
    this->acceptor.open(loopback.protocol());
    // Connections inherit it. Set later, it would not shrink what they have offered to receive.
    this->acceptor.set_option(asio::socket_base::receive_buffer_size(receive_buffer_bytes));
    this->acceptor.bind(loopback);
    this->acceptor.listen();
    this->accepting = std::jthread([this](const std::stop_token& stop) { this->accept(stop); });
}

scripted_server::~scripted_server() {
    this->accepting.request_stop();
    // Ends the wait for a connection.
    wire::error_code ignored;
    tcp::socket last(this->context);
    last.connect(this->acceptor.local_endpoint(), ignored);
}

std::string scripted_server::address() const {
    return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
}

void scripted_server::set_answer(const std::string& instance, scripted_answer answer) {
    const std::lock_guard lock(this->mutex);
    this->answers[instance] = std::move(answer);
}

int scripted_server::arrivals(const std::string& id) {
    const std::lock_guard lock(this->mutex);
    return this->arrivals_by_id[id];
}

void scripted_server::accept(const std::stop_token& stop) {
    std::vector<std::jthread> serving;
    while (true) {
        auto connection = std::make_shared<socket>(this->context);
        wire::error_code error;
        this->acceptor.accept(*connection, error);
        if (stop.stop_requested())
            return;
        this->opened.push_back(connection);
        serving.emplace_back([this, connection] { this->serve(*connection); });
    }
}

scripted_answer scripted_server::answer_to(const std::string& id, const std::string& instance) {
    if (id.empty())
        return {.parts = {"HTTP/1.1 404 Not Found\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"},
                .ending = connection_ending::close};
    const std::lock_guard lock(this->mutex);
    ++this->arrivals_by_id[id];
    scripted_answer filled = this->answers[instance];
    for (std::string& part : filled.parts) {
        replace_all(part, "@ID@", id);
        replace_all(part, "@INSTANCE@", instance);
    }
    return filled;
}

void scripted_server::serve(socket& connection) {
    boost::beast::flat_buffer buffer;
    http::request_parser<http::string_body> parser;
    wire::error_code error;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    http::read_header(connection, buffer, parser, error);
    if (error)
        return;
    const auto& head = parser.get();
    const scripted_answer due =
        this->answer_to(std::string(head["X-Attempt-Id"]), std::string(head["X-Expect-Instance"]));
    for (const std::string& part : due.parts) {
        asio::write(connection, asio::buffer(part), error);
        await_delivery(connection);
    }
    const std::uint64_t body_bytes = parser.content_length().value_or(0);
    end_connection(connection, due.ending, body_bytes - std::min<std::uint64_t>(body_bytes, buffer.size()));
}

std::size_t unsendable_bytes() {
    constexpr std::size_t at_least = 12UL * 1024 * 1024;
    std::ifstream limits("/proc/sys/net/ipv4/tcp_wmem");
    std::size_t least = 0;
    std::size_t usual = 0;
    std::size_t most = 0;
    limits >> least >> usual >> most;
    return std::max(at_least, 2 * most);
}

} // namespace postpaddle::test
