// SPDX-License-Identifier: BSD-2-Clause
// Limits of a caller's connection: those in force apply, and no request that has arrived is dropped.
#include <wire/caller_connection.h>

#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>
#include <thread>

#include <linux/sockios.h>
#include <sys/ioctl.h>

using namespace postpaddle;
using namespace std::chrono_literals;
using tcp = wire::asio::ip::tcp;

namespace {

constexpr auto short_time = 50ms;
constexpr auto longer_than_short_time = 120ms;

std::string make_request(std::size_t body_bytes) {
    return "POST / HTTP/1.1\r\nHost: host\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
           std::string(body_bytes, 'x');
}

/// A connection, the socket of its caller, and the limits in force. The context runs only in `run`, so that
/// the test determines what happens in one turn of the event loop.
struct open_connection {
    open_connection() : acceptor(context, {wire::asio::ip::address_v4::loopback(), 0}), socket(context) {
        this->socket.connect(this->acceptor.local_endpoint());
        this->connection = std::make_unique<wire::caller_connection>(this->acceptor.accept(),
                                                                     [this] { return this->bounds; });
    }

    /// Handles everything that has happened.
    void run() {
        this->context.restart();
        while (this->context.poll() > 0) {
        }
    }

    /// Starts to read a request.
    void begin_read() {
        this->result.reset();
        wire::spawn_coroutine(this->context, [this](wire::yield_context yield) {
            this->result = this->connection->read_request(yield);
        });
        this->run();
    }

    /// Reads and answers a request as hosts do, so that the connection is a kept one.
    void serve_one() {
        wire::spawn_coroutine(this->context, [this](wire::yield_context yield) {
            CHECK(this->connection->read_request(yield));
            this->connection->watch_for_disconnect([] {});
            CHECK(this->connection->send({200, {}, ""}, yield));
            this->connection->stop_watching();
        });
        this->send(make_request(0));
        this->run();
    }

    /// Returns once the bytes are in the receive buffer of the connection.
    void send(const std::string& bytes) {
        wire::asio::write(this->socket, wire::asio::buffer(bytes));
        int unacknowledged = 1;
        while (unacknowledged > 0) {
            REQUIRE(ioctl(this->socket.native_handle(), SIOCOUTQ, &unacknowledged) == 0);
            std::this_thread::sleep_for(1ms);
        }
    }

    /// Lets time pass while the event loop is held up.
    static void hold_up() { std::this_thread::sleep_for(longer_than_short_time); }

    [[nodiscard]] bool has_read_request() const { return this->result && this->result->has_value(); }

    wire::asio::io_context context;
    tcp::acceptor acceptor;
    tcp::socket socket;
    wire::connection_bounds bounds{.header_timeout = 1h, .request_timeout = 1h, .idle_timeout = 1h};
    std::unique_ptr<wire::caller_connection> connection;
    std::optional<wire::expected<wire::http_request>> result; ///< Of the last read, once it has ended.
};

} // namespace

// Guards against connections that keep the limits that they were made with.
TEST_CASE("a kept connection is under the limits in force when a request arrives") {
    open_connection caller;
    caller.bounds.body_bytes = 100;
    caller.serve_one();
    caller.begin_read();
    caller.bounds.body_bytes = 1'000;
    caller.send(make_request(500));
    caller.run();
    CHECK(caller.has_read_request());

    caller.bounds.body_bytes = 100;
    caller.begin_read();
    caller.send(make_request(500));
    caller.run();
    REQUIRE(caller.result);
    REQUIRE_FALSE(caller.result->has_value());
    CHECK(caller.result->error().failure == wire::wire_failure::too_large);
}

// Guards against a 413 for a body that both the version of its head and the version of its end allow.
TEST_CASE("a request that arrives while the limits change is under the larger ones") {
    open_connection caller;
    caller.bounds.body_bytes = 1'000;
    const std::string request = make_request(500);
    for (const std::size_t next : {100, 1'000}) {
        caller.begin_read();
        caller.send(request.substr(0, 10));
        caller.run();
        caller.bounds.body_bytes = next;
        caller.send(request.substr(10));
        caller.run();
        CHECK(caller.has_read_request());
    }
}

// Guards against an idle timer that closes the connection although a request has arrived.
TEST_CASE("a request that arrives just as the idle timeout ends is read") {
    open_connection caller;
    caller.serve_one();
    caller.bounds.idle_timeout = short_time;
    caller.begin_read();
    caller.send(make_request(10));
    open_connection::hold_up();
    caller.run();
    CHECK(caller.has_read_request());
}

TEST_CASE("a connection without a request is closed when the idle timeout ends") {
    open_connection caller;
    caller.serve_one();
    caller.bounds.idle_timeout = short_time;
    caller.begin_read();
    CHECK_FALSE(caller.result);
    open_connection::hold_up();
    caller.run();
    REQUIRE(caller.result);
    REQUIRE_FALSE(caller.result->has_value());
    CHECK(caller.result->error().failure == wire::wire_failure::closed);
}

// Guards against the timer of an earlier, shorter timeout: callers go by the one in force.
TEST_CASE("an idle connection is kept for the new idle timeout when that is raised") {
    open_connection caller;
    caller.serve_one();
    caller.bounds.idle_timeout = short_time;
    caller.begin_read();
    caller.bounds.idle_timeout = 1h;
    open_connection::hold_up();
    caller.run();
    CHECK_FALSE(caller.result);
    caller.send(make_request(10));
    caller.run();
    CHECK(caller.has_read_request());
}

// Guards against a drain that closes an idle connection although a request has arrived.
TEST_CASE("a request that has arrived when idle connections are closed is read") {
    open_connection caller;
    caller.serve_one();
    caller.begin_read();
    caller.send(make_request(10));
    caller.connection->close_when_idle();
    caller.run();
    CHECK(caller.has_read_request());
}

// The same for a connection whose request arrived before anything was read from it.
TEST_CASE("a request that arrived on a new connection before idle ones are closed is read") {
    open_connection caller;
    caller.send(make_request(10));
    caller.connection->close_when_idle();
    caller.begin_read();
    CHECK(caller.has_read_request());
}

TEST_CASE("an idle connection without a request is closed at once when idle ones are") {
    open_connection caller;
    caller.serve_one();
    caller.begin_read();
    caller.connection->close_when_idle();
    caller.run();
    REQUIRE(caller.result);
    CHECK_FALSE(caller.result->has_value());
}

// Guards against a 408 for a request that has arrived whole, because its timer ended in the same turn.
TEST_CASE("a request whose last part arrives just as its timeout ends is read") {
    for (const std::size_t arrived : {20, 60}) {
        INFO("bytes that arrive first: " << arrived);
        open_connection caller;
        caller.serve_one();
        caller.bounds.header_timeout = short_time;
        caller.bounds.request_timeout = short_time;
        const std::string request = make_request(1'000);
        caller.begin_read();
        caller.send(request.substr(0, arrived));
        caller.run();
        caller.send(request.substr(arrived));
        open_connection::hold_up();
        caller.run();
        CHECK(caller.has_read_request());
    }
}

// Guards against a wait without an end when a part arrives just as the timeout ends and no more follows.
TEST_CASE("a request whose rest does not arrive ends as late") {
    open_connection caller;
    caller.serve_one();
    caller.bounds.header_timeout = short_time;
    caller.begin_read();
    caller.send(make_request(1'000).substr(0, 10));
    open_connection::hold_up();
    caller.run();
    open_connection::hold_up();
    caller.run();
    REQUIRE(caller.result);
    REQUIRE_FALSE(caller.result->has_value());
    CHECK(caller.result->error().failure == wire::wire_failure::late);
}

// Guards against a timer that outlives its read and ends the watch for the caller's disconnect.
TEST_CASE("a caller that goes while its request is in progress is noticed") {
    open_connection caller;
    caller.serve_one();
    caller.bounds.header_timeout = short_time;
    caller.begin_read();
    caller.send(make_request(10).substr(0, 10));
    caller.run();
    caller.send(make_request(10).substr(10));
    open_connection::hold_up();
    bool has_gone = false;
    caller.run();
    REQUIRE(caller.has_read_request());
    caller.connection->watch_for_disconnect([&] { has_gone = true; });
    caller.run();
    caller.socket.close();
    caller.context.restart();
    while (!has_gone && caller.context.run_one_for(10s) > 0) {
    }
    CHECK(has_gone);
}

// Guards against a drain that drops a request whose caller was told to keep the connection.
TEST_CASE("a request that follows an answer begun before idle connections are closed is read") {
    open_connection caller;
    caller.begin_read();
    caller.send(make_request(10));
    caller.run();
    REQUIRE(caller.has_read_request());
    caller.connection->begin_stream({200, {}});
    caller.connection->close_when_idle();
    caller.send(make_request(20));
    wire::spawn_coroutine(caller.context,
                          [&](wire::yield_context yield) { CHECK(caller.connection->end_stream(yield)); });
    caller.run();
    REQUIRE(caller.connection->is_keep_alive());
    caller.begin_read();
    REQUIRE(caller.has_read_request());
    CHECK(caller.result->value().body.size() == 20);
    wire::spawn_coroutine(caller.context, [&](wire::yield_context yield) {
        CHECK(caller.connection->send({200, {}, ""}, yield));
    });
    caller.run();
    CHECK_FALSE(caller.connection->is_keep_alive());
}

namespace {

constexpr const char* chunked_head = "POST / HTTP/1.1\r\nHost: host\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Reads a request of which only these bytes arrive; returns why it fails, nothing if more is awaited.
std::optional<wire::wire_failure> failure_of(const std::string& bytes, std::size_t header_bytes = 8'192) {
    open_connection caller;
    caller.bounds.header_bytes = header_bytes;
    caller.begin_read();
    constexpr std::size_t part_bytes = 16'384;
    for (std::size_t sent = 0; sent < bytes.size() && !caller.result; sent += part_bytes) {
        caller.send(bytes.substr(sent, part_bytes));
        caller.run();
    }
    if (!caller.result)
        return std::nullopt;
    REQUIRE_FALSE(caller.result->has_value());
    return caller.result->error().failure;
}

std::string repeat(const std::string& text, int times) {
    std::string all;
    for (int time = 0; time < times; ++time)
        all += text;
    return all;
}

} // namespace

// Guards against fields that arrive after the checks of the head but count as if they stood there.
TEST_CASE("trailer fields are no part of the request") {
    open_connection caller;
    caller.begin_read();
    caller.send(std::string(chunked_head) +
                "1\r\nx\r\n0\r\nX-Joined: yes\r\nHost: other\r\nAuthorization: Bearer other\r\n\r\n");
    caller.run();
    REQUIRE(caller.has_read_request());
    const wire::http_request& request = **caller.result;
    CHECK(request.body == "x");
    CHECK(wire::find_header(request.headers, "X-Joined").empty());
    CHECK(wire::find_header(request.headers, "Authorization").empty());
    CHECK(wire::find_header(request.headers, "Host") == "host");
    CHECK(request.headers.size() == 2);
}

// Guards against memory for what is read but not parsed yet, which no limit applied to.
TEST_CASE("trailers and chunk extensions without end are refused") {
    const std::string begin = std::string(chunked_head) + "1\r\nx\r\n";
    CHECK(failure_of(begin + "0\r\n" + repeat("X-Trailer: " + std::string(100, 'x') + "\r\n", 2'000)) ==
          wire::wire_failure::head_too_large);
    CHECK(failure_of(begin + "0\r\nX-Trailer: " + std::string(200'000, 'x')) ==
          wire::wire_failure::head_too_large);
    CHECK(failure_of(begin + "1;extension=" + std::string(200'000, 'x')) ==
          wire::wire_failure::head_too_large);
    CHECK(failure_of(begin + repeat("1;extension=" + std::string(2'000, 'x') + "\r\nx\r\n", 100)) ==
          wire::wire_failure::too_large);
}

// Guards against a bound on framing that sound requests meet.
TEST_CASE("a body in chunks of one byte, short trailers and a long head are read") {
    open_connection caller;
    caller.bounds.header_bytes = 8'192;
    caller.begin_read();
    const std::string long_field = "X-Field: " + std::string(8'000, 'x') + "\r\n";
    std::string head = chunked_head;
    head.insert(head.size() - 2, long_field);
    caller.send(head);
    caller.run();
    const std::string part = repeat("1\r\nx\r\n", 1'000);
    for (int sent = 0; sent < 60; ++sent) {
        caller.send(part);
        caller.run();
    }
    caller.send("0\r\n" + long_field.substr(0, 4'000) + "\r\n\r\n");
    caller.run();
    REQUIRE(caller.has_read_request());
    CHECK((*caller.result)->body.size() == 60'000);
}
