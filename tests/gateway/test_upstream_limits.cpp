// SPDX-License-Identifier: BSD-2-Clause
// Upstreams that name, in their answers, how many requests a second they take from all hosts together.
//
// Seen: two upstreams in need named limits of 2.4 and 6.1 requests a second, and got 55 and 51 in four
// seconds, as many as before they named them.
#include <support/gateway_cluster.h>
#include <support/test_cluster.h>

#include <base/clock.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace postpaddle;
using namespace std::chrono_literals;
using test::routed_request;

namespace {

constexpr int hosts = 3;
/// Time within which hosts must keep to a limit that was named.
constexpr auto contact_time = 3s;
/// Span over which an upstream's requests are counted.
constexpr auto window = 4s;

/// What an upstream may get within the window.
double most_in_window(double limit) { return 1.5 * limit * base::to_seconds(window) + 5; }

/// Callers that send requests to all hosts, one each 16 ms, for as long as it lives.
class steady_callers {
public:
    explicit steady_callers(const test::gateway_cluster& cluster)
        : thread([this, &cluster](const std::stop_token& stop) { this->run(cluster, stop); }) {}

    /// Answers with a success, and all others.
    [[nodiscard]] int served() const { return this->good; }
    [[nodiscard]] int not_served() const { return this->bad; }

private:
    void run(const test::gateway_cluster& cluster, const std::stop_token& stop) {
        static constexpr auto pause = 16ms;
        for (int number = 0; !stop.stop_requested(); ++number) {
            const auto answer =
                stand_in::http_exchange(cluster.callers_address(1 + number % hosts),
                                        routed_request("/again/", "steady-" + std::to_string(number)));
            ++(answer && answer->status == 200 ? this->good : this->bad);
            std::this_thread::sleep_for(pause);
        }
    }

    std::atomic<int> good = 0;
    std::atomic<int> bad = 0;
    std::jthread thread;
};

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
    const steady_callers callers(cluster);
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
    CHECK(callers.not_served() == 0);
}

TEST_CASE("where all upstreams name limits, what they take is served and the rest refused with a time") {
    test::gateway_cluster cluster(three_servers("limit-all"));
    {
        const steady_callers callers(cluster);
        for (const auto* id : {"one", "two", "three"})
            (void)cluster.server(id, {{"limit", "2"}});
        std::this_thread::sleep_for(contact_time);
        const int served_before = callers.served();
        for (const auto* id : {"one", "two", "three"})
            (void)cluster.server(id, {{"forget_arrivals", true}});
        std::this_thread::sleep_for(window);
        for (const auto* id : {"one", "two", "three"}) {
            INFO(id);
            CHECK(cluster.arrivals(id) <= most_in_window(2));
            CHECK(cluster.arrivals(id) >= 1);
        }
        CHECK(callers.served() > served_before);
        CHECK(callers.not_served() > 0);
    }
    const auto ask = [&cluster](int number) {
        return stand_in::http_exchange(cluster.callers_address(1),
                                       routed_request("/again/", "more-" + std::to_string(number)));
    };
    auto refused = ask(0);
    for (int number = 1; number < 60 && refused && refused->status == 200; ++number)
        refused = ask(number);
    REQUIRE(refused);
    CHECK(refused->status == 503);
    CHECK(wire::find_header(refused->headers, "Postpaddle-Outcome") == "not-run");
    CHECK(std::stod(std::string(wire::find_header(refused->headers, "Retry-After"))) > 0);
}
