// SPDX-License-Identifier: BSD-2-Clause
// Servers that stop within the head of their response, or within its body, and close or reset the connection.
// Guards against a part of a response being taken for a whole one.
#include <support/response_readers.h>

#include <wire/host_list_client.h>

#include <catch2/catch.hpp>

#include <boost/asio/write.hpp>

#include <array>
#include <string>
#include <vector>

using namespace postpaddle;
using namespace std::chrono_literals;

namespace {

enum class connection_ending { closed, reset };

/// Server that answers each connection's request with a text and ends the connection.
class cutting_server {
public:
    explicit cutting_server(wire::asio::io_context& context)
        : context(&context), acceptor(context, {wire::asio::ip::address_v4::loopback(), 0}) {
        wire::spawn_coroutine(context, [this](wire::yield_context yield) {
            wire::error_code error;
            while (!error)
                this->answer(yield, error);
        });
    }

    [[nodiscard]] std::string address() const {
        return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
    }
    void set_answer(std::string new_text, connection_ending new_ending) {
        this->text = std::move(new_text);
        this->ending = new_ending;
    }

private:
    void answer(wire::yield_context yield, wire::error_code& error) {
        wire::asio::ip::tcp::socket socket(*this->context);
        this->acceptor.async_accept(socket, yield[error]);
        wire::error_code ignored;
        std::array<char, 4'096> request{};
        (void)socket.async_read_some(wire::asio::buffer(request), yield[ignored]);
        wire::asio::async_write(socket, wire::asio::buffer(this->text), yield[ignored]);
        if (this->ending == connection_ending::reset)
            socket.set_option(wire::asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

    wire::asio::io_context* context;
    wire::asio::ip::tcp::acceptor acceptor;
    std::string text;
    connection_ending ending = connection_ending::closed;
};

struct framed_response {
    const char* name;
    std::string text;
    /// Bytes after which it is whole if its connection is closed; of a framed one, all.
    std::size_t whole_from = 0;
};

framed_response until_close(const char* name, const std::string& head, const std::string& body) {
    return {.name = name, .text = head + "\r\n" + body, .whole_from = head.size() + 2};
}

framed_response framed(const char* name, const std::string& text) { return {name, text, text.size()}; }

const std::string fields = "X-Attempt-Id: id-1\r\nX-Response-Seal: seal.i-1.id-1\r\n";

std::vector<framed_response> all_responses() {
    const std::string early = "HTTP/1.1 103 Early Hints\r\nX-Attempt-Id: id-1\r\n\r\n";
    const std::string with_length = "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 12\r\n\r\nanswer: id-1";
    const std::string in_chunks = "HTTP/1.1 200 OK\r\n" + fields +
                                  "Transfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n6\r\n: id-1\r\n0\r\n";
    return {framed("a length", with_length),
            framed("chunks", in_chunks + "\r\n"),
            framed("chunks and trailers", in_chunks + "X-Checksum: 1\r\n\r\n"),
            framed("a length after an informational response", early + with_length),
            framed("chunks after an informational response", early + in_chunks + "\r\n"),
            framed("an empty body", "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 0\r\n\r\n"),
            until_close("the connection's end", "HTTP/1.1 200 OK\r\n" + fields, "answer: id-1"),
            until_close("the connection's end, as announced",
                        "HTTP/1.1 200 OK\r\nConnection: close\r\n" + fields, "answer: id-1"),
            until_close("the connection's end after an informational response",
                        early + "HTTP/1.1 200 OK\r\n" + fields, "answer: id-1")};
}

const wire::http_request request = wire::get_request("/", {{"Host", "server"}});

} // namespace

TEST_CASE("a response that is cut anywhere in its head or body is not taken for whole, however it is read") {
    wire::asio::io_context context;
    cutting_server server(context);
    int whole = 0;
    bool has_ended = false;
    wire::spawn_coroutine(context, [&](wire::yield_context yield) {
        for (const test::response_reader& way : test::response_readers())
            for (const framed_response& response : all_responses())
                for (const auto ending : {connection_ending::closed, connection_ending::reset})
                    for (std::size_t size = 0; size < response.text.size(); ++size) {
                        // A connection that is kept would meet the ending of the one before.
                        wire::connection_pool pool(context, wire::response_bounds{});
                        server.set_answer(response.text.substr(0, size), ending);
                        const auto body = way.read(pool, server.address(), request, yield);
                        const bool may_be_whole =
                            ending == connection_ending::closed && size >= response.whole_from;
                        INFO("read as " << way.name << ", framed by " << response.name << ", cut after "
                                        << size << " bytes by "
                                        << (ending == connection_ending::reset ? "a reset" : "a close"));
                        REQUIRE(body.has_value() == may_be_whole);
                        if (may_be_whole)
                            REQUIRE(*body ==
                                    response.text.substr(response.whole_from, size - response.whole_from));
                        whole += may_be_whole ? 1 : 0;
                    }
        has_ended = true;
        context.stop();
    });
    context.run();
    CHECK(has_ended);
    CHECK(whole > 0);
}

// Guards against a head that is cut and followed by another answer being read as one with that answer's body.
TEST_CASE("a head that is cut within its framing, with another answer behind it, is no answer") {
    const std::string other = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";
    wire::asio::io_context context;
    cutting_server server(context);
    int answers = 0;
    wire::spawn_coroutine(context, [&](wire::yield_context yield) {
        for (const char* cut :
             {"HTTP/1.1 200 OK\r\nContent-Length: 1", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n",
              "HTTP/1.1 200 OK\r\nContent-Len", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 20"}) {
            wire::connection_pool pool(context, wire::response_bounds{});
            server.set_answer(cut + other, connection_ending::closed);
            const auto body = test::body_of(wire::fetch(pool, server.address(), request, 5s, yield));
            INFO(cut << ": " << (body ? *body : ""));
            CHECK_FALSE(body);
            ++answers;
        }
        context.stop();
    });
    context.run();
    CHECK(answers == 5);
}

// Guards against the words of a failure being taken for the list.
TEST_CASE("a list of hosts is read from a success alone") {
    const std::string list =
        R"({"hosts":[{"name":"host-1","peers_address":"127.0.0.1:1"}],"leaving_upstreams":[]})";
    wire::asio::io_context context;
    cutting_server server(context);
    bool has_ended = false;
    wire::spawn_coroutine(context, [&](wire::yield_context yield) {
        for (const char* status : {"200 OK", "404 Not Found", "500 Internal Server Error"}) {
            server.set_answer("HTTP/1.1 " + std::string(status) +
                                  "\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list,
                              connection_ending::closed);
            wire::host_list_client client(context, server.address());
            CAPTURE(status);
            CHECK(client.read(yield).has_value() == (std::string(status) == "200 OK"));
        }
        has_ended = true;
        context.stop();
    });
    context.run();
    CHECK(has_ended);
}
