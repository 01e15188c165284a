// SPDX-License-Identifier: BSD-2-Clause
// Upstreams that ask a host to back off, and upstreams that advertise in their answers that they are leaving.
// Guards against sending requests to an upstream during its back-off.
#include <support/gateway_cluster.h>
#include <support/steady_callers.h>
#include <support/test_cluster.h>

#include <base/clock.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

using namespace postpaddle;
using namespace std::chrono_literals;
using test::routed_request;

namespace {

/// Requests in flight may still reach an upstream for this long after it asked for back-off; this many are
/// tolerated later.
constexpr double in_flight_ms = 500;
constexpr int max_in_backoff = 2;
/// An upstream that advertised that it is leaving gets no new requests after this time.
constexpr auto drain_time = 2s;

/// Arrival times of all requests at an upstream, in milliseconds.
std::vector<double> arrival_times(test::gateway_cluster& cluster, const std::string& id) {
    std::vector<double> times;
    const nlohmann::json counters = cluster.server(id);
    for (const nlohmann::json& arrival : counters.at("arrivals"))
        times.push_back(arrival.at("at_ms").get<double>());
    return times;
}

/// Largest number of requests within one back-off of an upstream that refuses everything, ignoring those in
/// flight.
int max_within_backoff(const std::vector<double>& times, double backoff_ms) {
    int max_count = 0;
    for (const double refused_at : times) {
        const auto count = std::count_if(times.begin(), times.end(), [&](double time) {
            return time > refused_at + in_flight_ms && time < refused_at + backoff_ms;
        });
        max_count = std::max(max_count, static_cast<int>(count));
    }
    return max_count;
}

/// Lists a later start of the server at the address of another one, and waits until host 1 knows of it.
void replace_start(test::gateway_cluster& cluster, const std::string& id, const std::string& replacement) {
    const std::string address = cluster.server_address(replacement);
    const nlohmann::json entry = {{"service", "plain"}, {"address", address}, {"zone", "east"},
                                  {"version", "v1"},    {"slots", 8},         {"state", "ready"},
                                  {"sequence", 1},      {"born", 7},          {"coldRemainingMs", 0}};
    cluster.register_text(id, entry.dump());
    REQUIRE(test::eventually(
        [&] { return cluster.state_of(1).at("instances").at(id).at("address") == address; }));
}

} // namespace

TEST_CASE("a plain upstream gets no requests from a host during the back-off it asked for") {
    test::gateway_cluster cluster({.name = "rest-plain", .servers = {{.id = "one"}, {.id = "two"}}});
    for (const auto* id : {"one", "two"})
        (void)cluster.server(id, {{"work_ms", 100}});
    const test::steady_callers callers(cluster, {.count = 24});
    std::this_thread::sleep_for(500ms);
    (void)cluster.server("one", {{"refuse", 1'000'000}, {"rest", "1.5"}, {"forget_arrivals", true}});
    std::this_thread::sleep_for(6s);
    const auto times = arrival_times(cluster, "one");
    CHECK_FALSE(times.empty());
    CHECK(max_within_backoff(times, 1'500) <= max_in_backoff);
    // Once it accepts requests again, it gets its share.
    (void)cluster.server("one", {{"refuse", 0}, {"forget_arrivals", true}});
    CHECK(test::eventually([&] { return cluster.arrivals("one") > 60; }));
    CHECK(callers.failed() + callers.refused() == 0);
}

TEST_CASE("an engine gets neither prompts nor runs from a host during the back-off it asked for") {
    test::gateway_cluster cluster({.name = "rest-engines",
                                   .servers = {{.id = "p1", .service = "engines", .stage = "prefill"},
                                               {.id = "p2", .service = "engines", .stage = "prefill"},
                                               {.id = "d1", .service = "engines", .stage = "decode"},
                                               {.id = "d2", .service = "engines", .stage = "decode"}}});
    const test::steady_callers callers(cluster, {.count = 8, .path = "/resume/"});
    std::this_thread::sleep_for(500ms);
    for (const auto* id : {"p1", "d1"})
        (void)cluster.server(id, {{"refuse", 1'000'000}, {"rest", "1.5"}, {"forget_arrivals", true}});
    std::this_thread::sleep_for(6s);
    for (const auto* id : {"p1", "d1"}) {
        INFO(id);
        const auto times = arrival_times(cluster, id);
        CHECK_FALSE(times.empty());
        CHECK(max_within_backoff(times, 1'500) <= max_in_backoff);
    }
}

TEST_CASE("a request waits out a short back-off, and is refused at once if the back-off is long") {
    test::gateway_cluster cluster({.name = "rest-alone", .servers = {{.id = "one"}}});
    for (const auto* backoff : {"0.6", "30"}) {
        (void)cluster.server("one", {{"refuse", 1}, {"rest", backoff}});
        CHECK(test::status_at(cluster, 1, "/once/") == 503);
        const int before = cluster.arrivals("one");
        const auto sent_at = base::boot_clock::now();
        const auto answer =
            stand_in::http_exchange(cluster.callers_address(), routed_request("/once/", "after"));
        const auto elapsed = base::boot_clock::now() - sent_at;
        REQUIRE(answer);
        if (std::string(backoff) == "0.6") {
            CHECK(answer->status == 200);
            continue;
        }
        CHECK(answer->status == 503);
        CHECK(cluster.arrivals("one") == before);
        // Far below the request's deadline of four seconds.
        CHECK(elapsed < 2s);
        CHECK(std::stod(std::string(wire::find_header(answer->headers, "Retry-After"))) > 0);
    }
}

TEST_CASE("no host sends requests to an upstream that advertises in its answers that it is leaving") {
    constexpr int hosts = 3;
    test::gateway_cluster cluster(
        {.name = "leaving-answers", .servers = {{.id = "one"}, {.id = "two"}}, .hosts = hosts});
    for (const auto* id : {"one", "two"})
        (void)cluster.server(id, {{"work_ms", 50}});
    const test::steady_callers callers(cluster, {.count = 8, .hosts = hosts});
    REQUIRE(test::eventually([&] { return cluster.arrivals("one") > 20; }));
    (void)cluster.server("one", {{"is_leaving", true}});
    std::this_thread::sleep_for(drain_time);
    int before = cluster.arrivals("one");
    std::this_thread::sleep_for(2s);
    CHECK(cluster.arrivals("one") == before);
    // An older registry entry must not clear the state, and a host that starts must learn of it.
    cluster.register_server("one", "ready", 2);
    cluster.host(3).send_signal(SIGKILL);
    (void)cluster.host(3).wait();
    cluster.start_host(3);
    REQUIRE(test::eventually([&] { return cluster.is_ready(3); }));
    std::this_thread::sleep_for(drain_time);
    before = cluster.arrivals("one");
    std::this_thread::sleep_for(2s);
    CHECK(cluster.arrivals("one") == before);
    // A new process under the same id is not leaving.
    cluster.restart_server("one", 7);
    CHECK(test::eventually([&] { return cluster.arrivals("one") > 20; }));
}

// Guards against a late answer that excludes the new start for good, on every host.
TEST_CASE("an upstream's answer that it is leaving does not apply to a start that replaced it meanwhile") {
    test::gateway_cluster cluster({.name = "late-answer", .servers = {{.id = "one"}}});
    (void)cluster.server("one", {{"hang", 1}, {"is_leaving", true}});
    test::client_connection client(cluster.callers_address(), routed_request("/again/", "id-1"));
    REQUIRE(test::eventually([&] { return cluster.arrivals("one") == 1; }));
    const auto offset = [&] {
        return cluster.state_of(1).at("instances").at("one").at("registry_offset").get<int>();
    };
    const int before = offset();
    cluster.register_server("one", "ready", 1, 7);
    REQUIRE(test::eventually([&] { return offset() > before; }));
    (void)cluster.server("one", {{"hang", 0}});
    REQUIRE(client.read_at_least(12).starts_with("HTTP/1.1 200"));
    (void)cluster.server("one", {{"is_leaving", false}});
    CHECK(test::status_at(cluster, 1, "/again/") == 200);
    CHECK(cluster.state_of(1).at("instances").at("one").at("listing") == "listed");
}

// Guards against an exit of an earlier start that puts the new start out of service.
TEST_CASE("the exit of an upstream does not apply to a start at another address that replaced it") {
    test::gateway_cluster cluster(
        {.name = "late-exit", .servers = {{.id = "one"}, {.id = "spare", .service = "other"}}});
    (void)cluster.server("one", {{"hang", 1}});
    test::client_connection client(cluster.callers_address(), routed_request("/once/", "id-1"));
    REQUIRE(test::eventually([&] { return cluster.arrivals("one") == 1; }));
    replace_start(cluster, "one", "spare");
    cluster.kill_server("one");
    REQUIRE(client.read_at_least(12).starts_with("HTTP/1.1 502"));
    REQUIRE(test::eventually([&] { return cluster.metric(1, "upstreams_ended_total") == 1; }));
    CHECK(cluster.state_of(1).at("instances").at("one").at("is_aside") == false);
}

// Guards against a probe of the port that ends the check because a later start is listed elsewhere: a process
// closes its connections before its port, so the first probe often finds the port open.
TEST_CASE("an exit is recorded if the port closes after a start at another address replaced the upstream") {
    test::gateway_cluster cluster(
        {.name = "later-exit", .servers = {{.id = "one"}, {.id = "spare", .service = "other"}}});
    (void)cluster.server("one", {{"hang", 1}, {"lose_answer", 1}});
    test::client_connection client(cluster.callers_address(), routed_request("/once/", "id-1"));
    REQUIRE(test::eventually([&] { return cluster.arrivals("one") == 1; }));
    replace_start(cluster, "one", "spare");
    // Closes the connection, but not the port.
    (void)cluster.server("one", {{"hang", 0}});
    REQUIRE(client.read_at_least(12).starts_with("HTTP/1.1 502"));
    cluster.kill_server("one");
    REQUIRE(test::eventually([&] { return cluster.metric(1, "upstreams_ended_total") == 1; }));
    CHECK(cluster.state_of(1).at("instances").at("one").at("is_aside") == false);
}
