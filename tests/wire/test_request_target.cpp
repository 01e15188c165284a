// SPDX-License-Identifier: BSD-2-Clause
// Guards against targets and heads that hold what somebody else wrote as it stands.
#include <wire/http_client.h>
#include <wire/request_target.h>

#include <support/odd_names.h>

#include <common/stand_in_server.h>

#include <catch2/catch.hpp>

using namespace postpaddle;
using namespace std::chrono_literals;

TEST_CASE("a target names what it was made of, whatever that holds") {
    for (const test::odd_name& odd : test::odd_names()) {
        INFO(odd.title);
        const std::string target = wire::make_target(
            {.path = {"api", odd.name}, .query = {{"topic", odd.name}, {"part", 7U}, {"after", odd.name}}});
        CHECK(stand_in::is_uri_target(target));
        CHECK(wire::is_sendable(wire::get_request(target)));
        CHECK(std::ranges::count(target, '/') == 2);
        CHECK(stand_in::query_parameter(target, "topic") == odd.name);
        CHECK(stand_in::query_parameter(target, "part") == "7");
        CHECK(stand_in::query_parameter(target, "after") == odd.name);
        CHECK(wire::find_parameter(target, "after") == odd.name);
    }
    CHECK(
        wire::make_target({.path = {"api", "log-newest"}, .query = {{"topic", "keyed.op"}, {"part", 0U}}}) ==
        "/api/log-newest?topic=keyed.op&part=0");
    CHECK(wire::make_target({.path = {"explain"}, .query = {{"id", ""}}}) == "/explain?id=");
}

TEST_CASE("a parameter is found by its whole name, and is empty if there is none") {
    CHECK(wire::find_parameter("/explain?mid=1&id=a%2Fb+c&id=2", "id") == "a/b c");
    for (const auto* target : {"/explain", "/explain?", "/explain?id", "/explain?id=", "/explain?&&", ""})
        CHECK(wire::find_parameter(target, "id").empty());
    CHECK(wire::find_parameter("/explain?id=%zz", "id") == "%zz");
}

TEST_CASE("what is no request is not sent") {
    const wire::http_request sound =
        wire::get_request("/a?b=%20", {{"Host", "h"}, {"X-Any", "\tb \xc3\xa9"}});
    CHECK(wire::is_sendable(sound));
    std::vector<wire::http_request> unsound(7, sound);
    unsound[0].target = "/a b";
    unsound[1].target = "/a\r\nX: y";
    unsound[2].target = "";
    unsound[3].method = "GET /";
    unsound[4].headers[0].value = "h\r\nX: y";
    unsound[5].headers[0].value = std::string("h\0", 2);
    unsound[6].headers[0].name = "X y";
    wire::asio::io_context context{1};
    wire::connection_pool pool(context, wire::response_bounds{});
    wire::spawn_coroutine(context, [&](wire::yield_context yield) {
        for (const wire::http_request& request : unsound) {
            INFO(request.target);
            CHECK_FALSE(wire::is_sendable(request));
            // Nothing listens there, which a connection would show.
            const auto answer = wire::fetch(pool, "127.0.0.1:1", request, 1s, yield);
            REQUIRE_FALSE(answer);
            CHECK(answer.error().failure == wire::wire_failure::unsendable);
            CHECK(wire::is_before_send(answer.error().failure));
        }
        context.stop();
    });
    context.run();
}
