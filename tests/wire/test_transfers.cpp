// SPDX-License-Identifier: BSD-2-Clause
#include <wire/http_client.h>

#include <catch2/catch.hpp>

#include <boost/asio/write.hpp>

#include <array>
#include <functional>
#include <string>

using namespace postpaddle;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t part_bytes = 1'000;
constexpr int parts = 20;
const std::string answer_head =
    "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: " + std::to_string(parts * part_bytes) +
    "\r\n\r\n";

/// Upstream that responds to one request in parts, with a pause before each.
class slow_upstream {
public:
    slow_upstream(wire::asio::io_context& context, std::chrono::milliseconds pause, int parts_sent)
        : context(&context), acceptor(context, {wire::asio::ip::address_v4::loopback(), 0}), pause(pause),
          parts_sent(parts_sent) {
        wire::spawn_coroutine(context, [this](wire::yield_context yield) { this->answer(yield); });
    }

    [[nodiscard]] std::string address() const {
        return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
    }

private:
    void answer(wire::yield_context yield) {
        wire::error_code error;
        wire::asio::ip::tcp::socket socket(*this->context);
        this->acceptor.async_accept(socket, yield[error]);
        wire::asio::async_write(socket, wire::asio::buffer(answer_head), yield[error]);
        const std::string part(part_bytes, 'x');
        wire::boot_timer timer(*this->context);
        for (int number = 0; number < this->parts_sent && !error; ++number) {
            timer.expires_after(this->pause);
            timer.async_wait(yield[error]);
            wire::asio::async_write(socket, wire::asio::buffer(part), yield[error]);
        }
        // Sends nothing more and waits until the client closes the connection.
        char byte = 0;
        while (!error)
            (void)socket.async_read_some(wire::asio::buffer(&byte, 1), yield[error]);
    }

    wire::asio::io_context* context;
    wire::asio::ip::tcp::acceptor acceptor;
    std::chrono::milliseconds pause;
    int parts_sent;
};

wire::expected<wire::http_response> fetch_from(std::chrono::milliseconds pause, int parts_sent,
                                               const wire::transfer_timeouts& limits) {
    wire::asio::io_context context;
    slow_upstream upstream(context, pause, parts_sent);
    wire::connection_pool pool(context, wire::response_bounds{});
    wire::expected<wire::http_response> result = tl::make_unexpected(wire::wire_error{});
    wire::spawn_coroutine(context, [&](wire::yield_context yield) {
        result = wire::fetch_large(pool, upstream.address(), wire::get_request("/", {{"Host", "upstream"}}),
                                   limits, yield);
        context.stop();
    });
    context.run();
    return result;
}

} // namespace

TEST_CASE("a large response is read completely even if it takes longer than the stall timeout") {
    int progress_calls = 0;
    // Twenty parts at 100 ms take twice as long as the stall timeout.
    const auto answer = fetch_from(
        100ms, parts, {.head_timeout = 1s, .stall_timeout = 1s, .on_part = [&] { ++progress_calls; }});
    REQUIRE(answer);
    CHECK(answer->body.size() == parts * part_bytes);
    CHECK(progress_calls > 1);
}

// Guards against unbounded growth in large systems, where each heartbeat goes to another host and idle
// connections were closed only when the same host was contacted again.
TEST_CASE("an expired idle connection is closed even if its address is not used again") {
    wire::asio::io_context context;
    slow_upstream first(context, 0ms, parts);
    slow_upstream second(context, 0ms, parts);
    wire::connection_pool pool(context, wire::response_bounds{});
    std::vector<std::size_t> idle;
    wire::spawn_coroutine(context, [&](wire::yield_context yield) {
        for (const slow_upstream* upstream : {&first, &second}) {
            REQUIRE(wire::fetch(pool, upstream->address(), wire::get_request("/", {{"Host", "upstream"}}), 5s,
                                yield));
            idle.push_back(pool.idle_connections());
            // Longer than the keep-alive timeout that the upstream advertises.
            wire::error_code ignored;
            wire::boot_timer pause(context, 1'200ms);
            pause.async_wait(yield[ignored]);
        }
        context.stop();
    });
    context.run();
    CHECK(idle == std::vector<std::size_t>{1, 1});
}

TEST_CASE("a stalled response is abandoned and the number of received bytes is reported") {
    constexpr int parts_sent = 5;
    const auto answer = fetch_from(1ms, parts_sent, {.head_timeout = 5s, .stall_timeout = 300ms});
    REQUIRE_FALSE(answer);
    CHECK(answer.error().failure == wire::wire_failure::late);
    CHECK(answer.error().arrived_bytes == parts_sent * part_bytes);
}

namespace {

enum class answer_end { close, reset };

/// Upstream that answers one request with neither a length nor chunks and ends the connection.
class unframed_upstream {
public:
    unframed_upstream(wire::asio::io_context& context, std::string body, answer_end end)
        : context(&context), acceptor(context, {wire::asio::ip::address_v4::loopback(), 0}),
          body(std::move(body)), end(end) {
        wire::spawn_coroutine(context, [this](wire::yield_context yield) { this->answer(yield); });
    }

    [[nodiscard]] std::string address() const {
        return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
    }

private:
    void answer(wire::yield_context yield) {
        wire::error_code error;
        wire::asio::ip::tcp::socket socket(*this->context);
        this->acceptor.async_accept(socket, yield[error]);
        std::array<char, 4'096> request{};
        (void)socket.async_read_some(wire::asio::buffer(request), yield[error]);
        wire::asio::async_write(socket, wire::asio::buffer("HTTP/1.1 200 OK\r\n\r\n" + this->body),
                                yield[error]);
        // Lets the client read what it was sent: a reset may overtake it.
        wire::boot_timer pause(*this->context, 50ms);
        pause.async_wait(yield[error]);
        if (this->end == answer_end::reset)
            socket.set_option(wire::asio::socket_base::linger(true, 0), error);
        socket.close(error);
    }

    wire::asio::io_context* context;
    wire::asio::ip::tcp::acceptor acceptor;
    std::string body;
    answer_end end;
};

} // namespace

// Guards against an answer that was reset on the way being taken for whole, and against the reuse of a
// connection whose end is the end of its answer.
TEST_CASE("an answer without length or chunks is whole when its connection is closed, not when it is reset") {
    const auto end = GENERATE(answer_end::close, answer_end::reset);
    const std::string body = GENERATE(std::string("answer"), std::string(100'000, 'x'), std::string());
    wire::asio::io_context context;
    unframed_upstream upstream(context, body, end);
    wire::connection_pool pool(context, wire::response_bounds{});
    wire::expected<wire::http_response> result = tl::make_unexpected(wire::wire_error{});
    wire::spawn_coroutine(context, [&](wire::yield_context yield) {
        result =
            wire::fetch(pool, upstream.address(), wire::get_request("/", {{"Host", "upstream"}}), 5s, yield);
        context.stop();
    });
    context.run();
    CHECK(result.has_value() == (end == answer_end::close));
    if (result)
        CHECK(result->body == body);
    CHECK(pool.idle_connections() == 0);
}
