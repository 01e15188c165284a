// SPDX-License-Identifier: BSD-2-Clause
// Guards against requests sent on knowledge of the registry that is older than its bound: a host that can't
// tell in time whether an upstream leaves must ask another host, or refuse.
#include <support/gateway_cluster.h>
#include <support/test_cluster.h>

#include <catch2/catch.hpp>

#include <csignal>
#include <thread>

using namespace postpaddle;
using namespace std::chrono_literals;
using test::status_at;

namespace {

const std::vector<std::string> none;
constexpr int bound_ms = 2'000;
/// The bound, and as much again for the word to reach the host by whatever way.
constexpr auto bound_is_over = std::chrono::milliseconds(bound_ms + 200);

test::gateway_cluster_options options_for(const std::string& name, int hosts) {
    return {.name = name,
            .servers = {{.id = "one"}, {.id = "two"}},
            .hosts = hosts,
            .leaving_bound_ms = bound_ms};
}

/// Writes entries of upstreams of another service, each some 200 bytes.
void register_others(test::gateway_cluster& cluster, int count) {
    for (int number = 0; number < count; ++number)
        cluster.register_at("other-" + std::to_string(number), "other", "two");
}

std::string listing_at(const test::gateway_cluster& cluster, int host, const std::string& id) {
    const auto state = cluster.state_of(host);
    const bool is_known = state.is_object() && state.at("instances").contains(id);
    return is_known ? state.at("instances").at(id).at("listing").get<std::string>() : "";
}

/// Sends requests to a host for a second; returns the statuses other than success, with their reasons.
std::vector<std::string> refusals_at(const test::gateway_cluster& cluster, int host) {
    std::vector<std::string> refusals;
    for (int request = 0; request < 10; ++request) {
        const auto answer = stand_in::http_exchange(cluster.callers_address(host),
                                                    test::routed_request("/again/", std::to_string(request)));
        if (!answer || answer->status != 200)
            refusals.push_back(
                !answer ? "no answer"
                        : std::to_string(answer->status) + " " +
                              std::string(wire::find_header(answer->headers, "Postpaddle-Reason")));
        std::this_thread::sleep_for(100ms);
    }
    return refusals;
}

} // namespace

TEST_CASE("a host whose reads bring the registry in parts sends nothing on what they have not brought yet") {
    test::gateway_cluster cluster({.name = "registry-in-parts",
                                   .servers = {{.id = "one"}, {.id = "two", .service = "other"}},
                                   .leaving_bound_ms = bound_ms});
    (void)cluster.store({{"read_bytes", 2'000}, {"slow_ms", 300}});
    register_others(cluster, 700);
    cluster.register_server("one", "draining", 2);
    std::this_thread::sleep_for(bound_is_over);
    CHECK(listing_at(cluster, 1, "one") == "listed");
    CHECK(refusals_at(cluster, 1).size() == 10);
    CHECK(cluster.arrivals("one") == 0);
    (void)cluster.store({{"read_bytes", 1'000'000}, {"slow_ms", 0}});
    REQUIRE(test::eventually([&] { return listing_at(cluster, 1, "one") != "listed"; }));
    CHECK(cluster.arrivals("one") == 0);
}

TEST_CASE("a host that reaches neither the store nor another host refuses, and is not ready") {
    test::gateway_cluster cluster(options_for("cut-off", 2));
    cluster.host(1).send_signal(SIGSTOP);
    (void)cluster.store({{"mode", "silent"}, {"turned_away", {cluster.host_ip(2)}}});
    cluster.register_server("one", "draining", 2);
    std::this_thread::sleep_for(bound_is_over);
    const int arrived = cluster.arrivals("one");
    const auto answer =
        stand_in::http_exchange(cluster.callers_address(2), test::routed_request("/once/", "refused"));
    REQUIRE(answer);
    CHECK(answer->status == 503);
    CHECK(wire::find_header(answer->headers, "Postpaddle-Outcome") == "not-run");
    CHECK_FALSE(wire::find_header(answer->headers, "Retry-After").empty());
    CHECK(refusals_at(cluster, 2).size() == 10);
    CHECK(cluster.arrivals("one") == arrived);
    CHECK_FALSE(cluster.is_ready(2));
    cluster.host(1).send_signal(SIGCONT);
    CHECK(test::eventually([&] { return status_at(cluster, 2, "/again/") == 200; }));
    CHECK(cluster.is_ready(2));
    CHECK(cluster.arrivals("one") == arrived);
}

TEST_CASE("a host that the store does not answer sends on what another host knows") {
    test::gateway_cluster cluster(options_for("asks-another", 2));
    (void)cluster.store({{"mode", "silent"}, {"turned_away", {cluster.host_ip(2)}}});
    cluster.register_server("one", "draining", 2);
    std::this_thread::sleep_for(bound_is_over);
    const int arrived = cluster.arrivals("one");
    CHECK(refusals_at(cluster, 2) == none);
    CHECK(refusals_at(cluster, 2) == none);
    CHECK(cluster.arrivals("one") == arrived);
    CHECK(cluster.metric(2, "sends_on_old_registry_total") == 0);
}

TEST_CASE("while the store answers no host, hosts go on serving on what they know") {
    for (const auto* mode : {"busy", "silent"}) {
        INFO(mode);
        test::gateway_cluster cluster(options_for(std::string("store-lost-") + mode, 3));
        (void)cluster.store({{"mode", mode}});
        std::this_thread::sleep_for(2 * bound_is_over);
        for (const int host : {1, 2, 3})
            CHECK(refusals_at(cluster, host) == none);
    }
}
