// SPDX-License-Identifier: BSD-2-Clause
// Servers that send what is no response, or only a part of one, however it is read, and also while the
// request is still being sent. Guards against a part, or what stands within a body, being taken for a
// response.
#include <support/broken_answers.h>
#include <support/response_readers.h>

#include <catch2/catch.hpp>

#include <string>

using namespace postpaddle;
using namespace std::chrono_literals;

namespace {

wire::http_request request_of(test::request_size size) {
    const std::size_t bytes = size == test::request_size::large ? test::unsendable_bytes() : 5;
    return {"POST",
            "/",
            {{"Host", "server"}, {"X-Attempt-Id", "id-1"}, {"X-Expect-Instance", "i-1"}},
            std::string(bytes, 'x')};
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
