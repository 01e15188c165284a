// SPDX-License-Identifier: BSD-2-Clause
// Streams that are broken or resumed while servers of two software versions serve the same service.
#include <support/gateway_cluster.h>
#include <support/resumable_caller.h>
#include <support/test_cluster.h>

#include <catch2/catch.hpp>

#include <csignal>
#include <string>
#include <vector>

using namespace postpaddle;
using test::attempt_naming;
using test::await_peers;
using test::engines_of_two_versions;
using test::events_before_leaving;
using test::leave_all;
using test::parse_events;
using test::received_events;
using test::resume_streams;
using test::routed_request;
using test::stream_counts;

namespace {

const std::vector<std::string> decode_engines = {"d1", "d2", "d3", "d4"};

test::gateway_cluster make_cluster(const std::string& name, int hosts = 3, bool has_datagrams = true) {
    test::gateway_cluster cluster(
        {.name = name, .servers = engines_of_two_versions(), .hosts = hosts, .has_datagrams = has_datagrams});
    await_peers(cluster, hosts);
    for (const std::string& id : decode_engines)
        (void)cluster.server(id, {{"work_ms", 20}, {"events", test::resumed_stream_length}});
    return cluster;
}

/// Begins that many streams at a host at the same time.
test::resumable_callers begin_streams(const test::gateway_cluster& cluster, int host, int number,
                                      const std::string& name) {
    return test::begin_streams(cluster, {.hosts = {host}, .number = number, .name = name});
}

} // namespace

// Guards against streams with events of two software versions: continued within an answer, after their caller
// has returned, or after what began them was lost with the host that they came through.
TEST_CASE("a stream goes on only at the software version that began it") {
    SECTION("within an answer") {
        auto cluster = make_cluster("versions-broken", 1);
        constexpr int streams = 24;
        for (const std::string& id : decode_engines)
            (void)cluster.server(id, {{"break_after", events_before_leaving}, {"breaks", streams}});
        stream_counts counts;
        for (int stream = 0; stream < streams; ++stream) {
            const auto answer = stand_in::http_exchange(
                cluster.callers_address(), routed_request("/resume/", "broken-" + std::to_string(stream)));
            REQUIRE(answer);
            const received_events events = parse_events(answer->body);
            counts.mixed += events.versions.size() > 1 ? 1 : 0;
            counts.complete += events.is_in_order && events.last == test::resumed_stream_length ? 1 : 0;
        }
        CHECK(counts.mixed == 0);
        CHECK(counts.complete == streams);
    }
    SECTION("at the host that its caller left, and at another") {
        auto cluster = make_cluster("versions-return");
        const auto callers = begin_streams(cluster, 1, 24, "returns");
        leave_all(callers);
        const stream_counts counts = resume_streams(cluster, callers, {1, 2, 3});
        CHECK(counts.mixed == 0);
        CHECK(counts.complete == 24);
    }
    SECTION("of a caller that doesn't name the attempt which began it") {
        auto cluster = make_cluster("versions-unnamed");
        const auto callers = begin_streams(cluster, 1, 24, "unnamed");
        leave_all(callers);
        const stream_counts counts = resume_streams(cluster, callers, {1, 2, 3}, attempt_naming::unnamed);
        CHECK(counts.mixed == 0);
        CHECK(counts.complete == 24);
    }
    SECTION("of a caller that names an attempt which began none") {
        auto cluster = make_cluster("versions-misnamed", 2);
        const auto callers = begin_streams(cluster, 1, 24, "misnamed");
        leave_all(callers);
        const std::vector<std::string> named = {"never-sent", std::string(200, 'x'), "misnamed-0-again"};
        stream_counts counts;
        for (std::size_t stream = 0; stream < callers.size(); ++stream)
            test::count(counts, *callers[stream],
                        callers[stream]->resume(cluster.callers_address(1 + static_cast<int>(stream % 2)),
                                                named[stream % named.size()]));
        CHECK(counts.mixed == 0);
        CHECK(counts.complete + counts.refused == 24);
    }
    SECTION("after its host was killed, at the others and at one that has just started") {
        auto cluster = make_cluster("versions-killed", 4);
        const auto callers = begin_streams(cluster, 1, 24, "killed");
        cluster.host(1).send_signal(SIGKILL);
        (void)cluster.host(1).wait();
        cluster.start_host(1);
        REQUIRE(test::eventually([&] { return cluster.is_ready(1); }));
        const stream_counts counts = resume_streams(cluster, callers, {1, 2, 3, 4});
        CHECK(counts.mixed == 0);
        CHECK(counts.complete == 24);
    }
    SECTION("after another version was released in the middle of it") {
        test::gateway_cluster cluster(
            {.name = "versions-release",
             .servers = {{.id = "p1", .service = "engines", .stage = "prefill", .software_version = "v1"},
                         {.id = "d1", .service = "engines", .stage = "decode", .software_version = "v1"}},
             .hosts = 2});
        await_peers(cluster, 2);
        (void)cluster.server("d1", {{"work_ms", 60}, {"events", test::resumed_stream_length}});
        const auto callers = begin_streams(cluster, 1, 8, "release");
        for (const auto* id : {"d2", "d3"})
            cluster.add_server({.id = id, .service = "engines", .stage = "decode", .software_version = "v2"});
        REQUIRE(test::eventually([&] { return cluster.state_of(2).at("instances").contains("d3"); }));
        leave_all(callers);
        const stream_counts counts = resume_streams(cluster, callers, {1, 2});
        CHECK(counts.mixed == 0);
        CHECK(counts.complete == 8);
    }
    SECTION("through a host that reaches no upstream and forwards to others") {
        test::gateway_cluster cluster({.name = "versions-forwarded",
                                       .servers = engines_of_two_versions(),
                                       .hosts = 3,
                                       .linked_hosts = 1});
        await_peers(cluster, 3);
        for (const std::string& id : decode_engines)
            (void)cluster.server(id, {{"work_ms", 20},
                                      {"events", test::resumed_stream_length},
                                      {"break_after", events_before_leaving + 1},
                                      {"breaks", 6}});
        cluster.set_links(1, test::link_fault::reset);
        const auto callers = begin_streams(cluster, 1, 24, "forwarded");
        leave_all(callers);
        const stream_counts counts = resume_streams(cluster, callers, {1, 2, 3});
        CHECK(counts.mixed == 0);
        CHECK(counts.complete == 24);
    }
}

// Guards against a guess: a host that can't learn what began a stream, or finds no server of that version
// left, must end it without sending it anywhere.
TEST_CASE("a stream that can't go on at its software version is refused unsent") {
    SECTION("where the host can neither ask others nor the store what it began") {
        auto cluster = make_cluster("versions-unknown", 2, false);
        const auto callers = begin_streams(cluster, 1, 12, "unknown");
        leave_all(callers);
        const int runs = cluster.runs();
        (void)cluster.store({{"mode", "busy"}});
        const stream_counts counts = resume_streams(cluster, callers, {2});
        CHECK(counts.mixed == 0);
        CHECK(counts.refused == 12);
        CHECK(cluster.runs() == runs);
    }
    SECTION("where its caller names an attempt that began none and the store is away") {
        auto cluster = make_cluster("versions-misnamed", 2);
        const auto callers = begin_streams(cluster, 1, 3, "misnamed");
        leave_all(callers);
        const int runs = cluster.runs();
        (void)cluster.store({{"mode", "busy"}});
        CHECK(callers[0]->resume(cluster.callers_address(2), "never-sent") == 503);
        CHECK(callers[1]->resume(cluster.callers_address(2), callers[1]->id() + "-again") == 503);
        CHECK(callers[2]->resume(cluster.callers_address(2), std::string(200, 'x')) == 503);
        CHECK(cluster.runs() == runs);
    }
    SECTION("where its version has no server left") {
        auto cluster = make_cluster("versions-gone", 2);
        const auto callers = begin_streams(cluster, 1, 12, "gone");
        leave_all(callers);
        for (const auto* id : {"d1", "d2"})
            cluster.register_server(id, "draining", 2);
        REQUIRE(test::eventually([&] {
            const auto state = cluster.state_of(2);
            return state.at("instances").at("d1").at("listing") == "leaving" &&
                   state.at("instances").at("d2").at("listing") == "leaving";
        }));
        const stream_counts counts = resume_streams(cluster, callers, {2});
        int began_at_first = 0;
        for (const auto& caller : callers)
            began_at_first += caller->received().versions.contains("v1") ? 1 : 0;
        CHECK(counts.mixed == 0);
        CHECK(began_at_first > 0);
        CHECK(counts.refused == began_at_first);
        CHECK(counts.complete == 12 - began_at_first);
    }
}
