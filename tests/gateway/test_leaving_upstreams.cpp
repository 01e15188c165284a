// SPDX-License-Identifier: BSD-2-Clause
// Guards against requests to an upstream that has left, by whichever word, while other hosts or clocks are in
// trouble. Counted is what the upstream received.
#include <support/gateway_cluster.h>
#include <support/late_arrivals.h>
#include <support/test_cluster.h>

#include <catch2/catch.hpp>

#include <thread>

using namespace postpaddle;
using namespace std::chrono_literals;

namespace {

constexpr int bound_ms = 2'000;
constexpr auto bound = std::chrono::milliseconds(bound_ms);
/// Until a host that has started has been served by the store for as long as an outage is remembered.
constexpr auto settled_time = 4s;

test::gateway_cluster_options options_for(const std::string& name, int hosts) {
    return {.name = name,
            .servers = {{.id = "p1", .service = "engines", .stage = "prefill"},
                        {.id = "d1", .service = "engines", .stage = "decode"},
                        {.id = "one"}},
            .hosts = hosts,
            .leaving_bound_ms = bound_ms};
}

const std::vector<std::string> leaving_servers = {"d1", "one"};

void drop_both(test::gateway_cluster& cluster) {
    for (const auto& id : leaving_servers)
        cluster.drop_server(id);
}

/// Requests that the two servers receive from these hosts in `length`, from the bound after now on.
int late_arrivals(test::gateway_cluster& cluster, int first, int last, std::chrono::milliseconds length) {
    return test::late_arrivals(cluster, leaving_servers, {.first = first, .last = last}, bound, length);
}

} // namespace

// Guards against hosts that take other hosts' failing reads for a doubt about what they have read themselves.
TEST_CASE("an upstream whose entry goes while two other hosts are turned away by the store gets no request "
          "later than its bound") {
    for (const auto* mode : {"busy", "silent", "reset"}) {
        INFO(mode);
        test::gateway_cluster cluster(options_for(std::string("gone-beside-") + mode, 6));
        std::this_thread::sleep_for(settled_time);
        (void)cluster.store({{"mode", mode}, {"turned_away", {cluster.host_ip(1), cluster.host_ip(2)}}});
        std::this_thread::sleep_for(bound);
        drop_both(cluster);
        CHECK(late_arrivals(cluster, 3, 6, 3s) == 0);
        INFO(test::describe_listing(cluster, "one", {.first = 1, .last = 6}));
        // Nor from the hosts that hear of it from others.
        CHECK(late_arrivals(cluster, 1, 2, 1s) == 0);
    }
}

// Guards against a doubt that outlives the other hosts' trouble.
TEST_CASE("an upstream whose entry goes right after two hosts were turned away gets no request later than "
          "its bound") {
    test::gateway_cluster cluster(options_for("gone-after", 6));
    std::this_thread::sleep_for(settled_time);
    (void)cluster.store({{"mode", "busy"}, {"turned_away", {cluster.host_ip(1), cluster.host_ip(2)}}});
    std::this_thread::sleep_for(bound);
    (void)cluster.store({{"mode", ""}});
    drop_both(cluster);
    CHECK(late_arrivals(cluster, 1, 6, 3s) == 0);
}

// Guards against a doubt that nobody refutes, as each host was turned away a short time ago.
TEST_CASE(
    "an upstream whose entry goes while the store turns hosts away in turn gets no request later than its "
    "bound") {
    test::gateway_cluster cluster(options_for("gone-in-turn", 3));
    std::this_thread::sleep_for(settled_time);
    (void)cluster.store({{"mode", "busy"}, {"turned_away", {cluster.host_ip(1)}}});
    std::this_thread::sleep_for(bound);
    (void)cluster.store({{"mode", ""}});
    std::this_thread::sleep_for(600ms);
    (void)cluster.store({{"mode", "busy"}, {"turned_away", {cluster.host_ip(2), cluster.host_ip(3)}}});
    std::this_thread::sleep_for(100ms);
    drop_both(cluster);
    CHECK(late_arrivals(cluster, 1, 3, 2s) == 0);
    INFO(test::describe_listing(cluster, "one", {.first = 1, .last = 3}));
}

// Guards against records that are ordered by the clocks of upstreams.
TEST_CASE("an upstream that starts again with an earlier or no start time and then leaves gets no request "
          "later than its bound") {
    for (const std::uint64_t second_start : {1'000, 0}) {
        INFO(second_start);
        test::gateway_cluster cluster(options_for("earlier-start-" + std::to_string(second_start), 2));
        for (const auto* id : {"d1", "one"}) {
            cluster.register_server(id, "ready", 5, 9'000);
            cluster.register_server(id, "ready", 1, second_start);
        }
        test::call_hosts(cluster, {.first = 1, .last = 2}, 500ms);
        CHECK(cluster.arrivals("one") > 0);
        for (const auto* id : {"d1", "one"})
            cluster.register_server(id, "draining", 2, second_start);
        CHECK(late_arrivals(cluster, 1, 2, 1s) == 0);
    }
}

// Guards the reason for the doubt: entries may lapse while the store is away, although their upstreams live.
TEST_CASE("while the store was away for all hosts, upstreams whose entries lapsed are used until they are "
          "listed again") {
    test::gateway_cluster cluster(options_for("lapsed", 3));
    std::this_thread::sleep_for(settled_time);
    (void)cluster.store({{"mode", "busy"}});
    std::this_thread::sleep_for(bound + 1s);
    drop_both(cluster);
    (void)cluster.store({{"mode", ""}});
    REQUIRE(test::await_listing(cluster, 3, "one", false));
    CHECK(test::count_served(cluster, {.first = 1, .last = 3}) == 6);
    for (const auto* id : {"d1", "one"})
        cluster.register_server(id, "ready", 2);
    CHECK(test::await_listing(cluster, 3, "one", true));
}
