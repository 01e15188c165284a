// SPDX-License-Identifier: BSD-2-Clause
// Upstreams that name, in their answers, how many requests a second they take from all hosts together.
//
// Seen: two upstreams in need named limits of 2.4 and 6.1 requests a second, and got 55 and 51 in four
// seconds, as many as before they named them. How: hosts told by an answer sent on as before. Cause: the word
// was read nowhere, so no host knew of it, and none keeps to a rate that all share. What proved it: arrivals
// did not change when the limits were named, and no line of any host knew of them.
#include <support/gateway_cluster.h>
#include <support/steady_callers.h>
#include <support/test_cluster.h>

#include <base/clock.h>

#include <catch2/catch.hpp>

#include <thread>

using namespace postpaddle;
using namespace std::chrono_literals;

namespace {

constexpr int hosts = 3;
/// Time within which hosts must keep to a limit that was named.
constexpr auto contact_time = 3s;
/// Span over which an upstream's requests are counted.
constexpr auto window = 4s;

/// What an upstream may get within the window.
double most_in_window(double limit) { return 1.5 * limit * base::to_seconds(window) + 5; }

test::gateway_cluster_options three_servers(const std::string& name) {
    return {.name = name, .servers = {{.id = "one"}, {.id = "two"}, {.id = "three"}}, .hosts = hosts};
}

/// Requests that reach a server within the window from now on.
int arrivals_in_window(test::gateway_cluster& cluster, const std::string& id) {
    const int before = cluster.arrivals(id);
    std::this_thread::sleep_for(window);
    return cluster.arrivals(id) - before;
}

} // namespace

TEST_CASE("an upstream that names a limit gets no more from all hosts together while it names it") {
    test::gateway_cluster cluster(three_servers("limit"));
    // So long that each of the three is needed.
    for (const auto* id : {"one", "two", "three"})
        (void)cluster.server(id, {{"work_ms", 100}});
    const test::steady_callers callers(cluster, {.count = 4 * hosts, .hosts = hosts});
    for (const std::string limit : {"6.0", "0.5"}) {
        INFO(limit);
        (void)cluster.server("one", {{"limit", limit}});
        std::this_thread::sleep_for(contact_time);
        CHECK(arrivals_in_window(cluster, "one") <= most_in_window(std::stod(limit)));
    }
    // Once it names none any more, it gets its part again.
    (void)cluster.server("one", {{"limit", ""}});
    const int before = cluster.arrivals("one");
    CHECK(test::eventually([&] { return cluster.arrivals("one") - before > 20; }));
    CHECK(callers.refused() + callers.failed() == 0);
}

TEST_CASE("where all upstreams name limits, what they take is served and the rest refused with a time") {
    test::gateway_cluster cluster(three_servers("limit-all"));
    // More at each host than can be served within their patience.
    const test::steady_callers callers(cluster, {.count = 20 * hosts, .hosts = hosts});
    for (const auto* id : {"one", "two", "three"})
        (void)cluster.server(id, {{"limit", "2"}});
    std::this_thread::sleep_for(contact_time);
    const int served_before = callers.served();
    for (const auto* id : {"one", "two", "three"})
        (void)cluster.server(id, {{"forget_arrivals", true}});
    std::this_thread::sleep_for(window);
    for (const auto* id : {"one", "two", "three"}) {
        INFO(id);
        const int arrived = cluster.arrivals(id);
        CHECK(arrived <= most_in_window(2));
        CHECK(arrived >= 2);
    }
    CHECK(callers.served() > served_before);
    CHECK(callers.refused() > 0);
    CHECK(callers.failed() == 0);
}

TEST_CASE("hosts that tell each other nothing by datagrams share a limit all the same") {
    auto options = three_servers("limit-silent");
    options.has_datagrams = false;
    test::gateway_cluster cluster(options);
    for (const auto* id : {"one", "two", "three"})
        (void)cluster.server(id, {{"work_ms", 100}});
    const test::steady_callers callers(cluster, {.count = 4 * hosts, .hosts = hosts});
    (void)cluster.server("one", {{"limit", "6.0"}});
    std::this_thread::sleep_for(contact_time);
    CHECK(arrivals_in_window(cluster, "one") <= most_in_window(6));
    for (int host = 1; host <= hosts; ++host)
        CHECK(cluster.state_of(host).at("instances").at("one").at("limit_per_s") == 6.0);
}
