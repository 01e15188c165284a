// SPDX-License-Identifier: BSD-2-Clause
// Servers that send what is no response, or only a part of one, however it is read, and also while the
// request is still being sent. Guards against a part, or what stands within a body, being taken for a
// response.
#include <support/broken_answers.h>
#include <support/response_readers.h>

#include <catch2/catch.hpp>

#include <boost/asio/write.hpp>

#include <array>
#include <string>

using namespace postpaddle;
using namespace std::chrono_literals;

namespace {

wire::http_request request_of(test::request_size size) {
    return {"POST",
            "/",
            {{"Host", "server"}, {"X-Attempt-Id", "id-1"}, {"X-Expect-Instance", "i-1"}},
            test::request_body(size)};
}

/// Calls `check` with what each reader makes of each of the answers.
template <class Check> void read_all(const std::vector<test::answer_kind>& kinds, const Check& check) {
    test::scripted_server server;
    wire::asio::io_context context;
    bool has_ended = false;
    wire::spawn_coroutine(context, [&](wire::yield_context yield) {
        for (const test::answer_kind& kind : kinds)
            for (const test::response_reader& way : test::response_readers()) {
                wire::connection_pool pool(context, wire::response_bounds{});
                server.set_answer("i-1", kind.answer);
                const auto body = way.read(pool, server.address(), request_of(kind.request), yield);
                const bool is_large = kind.request == test::request_size::large;
                INFO((is_large ? "During an upload: " : "") << kind.name << "\nRead as " << way.name);
                INFO((body ? "body: " + *body : "failure: " + body.error().detail));
                check(body);
            }
        has_ended = true;
        context.stop();
    });
    context.run();
    CHECK(has_ended);
}

/// Server that answers without a length, with a part of a body, and resets the connection when told to.
class resetting_server {
public:
    explicit resetting_server(wire::asio::io_context& context)
        : socket(context), acceptor(context, {wire::asio::ip::address_v4::loopback(), 0}) {
        wire::spawn_coroutine(context, [this](wire::yield_context yield) { this->answer(yield); });
    }

    [[nodiscard]] std::string address() const {
        return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
    }
    void reset() {
        this->socket.set_option(wire::asio::socket_base::linger(true, 0));
        this->socket.close();
    }

private:
    void answer(wire::yield_context yield) {
        wire::error_code ignored;
        this->acceptor.async_accept(this->socket, yield[ignored]);
        std::array<char, 16> part_of_request{};
        (void)this->socket.async_read_some(wire::asio::buffer(part_of_request), yield[ignored]);
        const std::string part = "HTTP/1.1 200 OK\r\n\r\npart";
        wire::asio::async_write(this->socket, wire::asio::buffer(part), yield[ignored]);
    }

    wire::asio::ip::tcp::socket socket;
    wire::asio::ip::tcp::acceptor acceptor;
};

/// Lets everything that is due on the context happen.
void run_due_work(wire::asio::io_context& context, wire::yield_context yield) {
    constexpr int rounds = 100;
    for (int round = 0; round < rounds; ++round)
        wire::asio::post(context, yield);
}

enum class read_order { before_reset, after_reset };

} // namespace

TEST_CASE("what is no whole response is not taken for one, however it is read") {
    read_all(test::broken_answers(), [](const wire::expected<std::string>& body) { CHECK_FALSE(body); });
}

TEST_CASE("a whole response is read as such, however it ends and whatever of the request is unsent") {
    read_all(test::sound_answers(), [](const wire::expected<std::string>& body) {
        REQUIRE(body);
        CHECK(*body == test::sound_body());
    });
}

// The system reports a reset to one of the operations on a connection; the other one sees the input's end.
TEST_CASE("a reset during an upload breaks a response without a length, whether or not it is being read") {
    const auto order = GENERATE(read_order::before_reset, read_order::after_reset);
    CAPTURE(order);
    wire::asio::io_context context;
    resetting_server server(context);
    bool has_ended = false;
    wire::spawn_coroutine(context, [&](wire::yield_context yield) {
        const auto deadline = base::boot_clock::now() + 5s;
        wire::connection_pool pool(context, wire::response_bounds{});
        auto open = wire::open_exchange(
            pool, server.address(), request_of(test::request_size::large), wire::connection_use::only_new,
            {.deadline = deadline}, [](const std::shared_ptr<wire::upstream_connection>& /*connection*/) {},
            yield);
        REQUIRE(open);
        std::string body;
        REQUIRE(open->call->read_part(body, deadline, yield));
        CHECK(body == "part");
        if (order == read_order::after_reset) {
            server.reset();
            run_due_work(context, yield);
        } else {
            wire::asio::post(context, [&server] { server.reset(); });
        }
        const auto rest = open->call->read_remaining_body(deadline, yield);
        CHECK_FALSE(rest);
        CHECK_FALSE(open->call->is_reusable());
        has_ended = true;
        context.stop();
    });
    context.run();
    CHECK(has_ended);
}
