// SPDX-License-Identifier: BSD-2-Clause
// Upstreams that fall silent for a while and go on, which is no failure, and others that are silent for good.
#include <support/gateway_cluster.h>
#include <support/test_cluster.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <future>

using namespace postpaddle;
using test::routed_request;

namespace {

/// Longer than a route's limits for silent runs, which are four gap targets of 500 ms between events and
/// about half a second before the first one.
constexpr int long_silence_ms = 2'600;

constexpr int never_ending_ms = 60'000;
/// The route's own limit.
constexpr int long_deadline_ms = 5'000;

test::gateway_cluster make_cluster(const std::string& name, double retry_slack, int hosts = 1) {
    return test::gateway_cluster({.name = name,
                                  .servers = {{.id = "one"},
                                              {.id = "two"},
                                              {.id = "p1", .service = "engines", .stage = "prefill"},
                                              {.id = "d1", .service = "engines", .stage = "decode"},
                                              {.id = "d2", .service = "engines", .stage = "decode"}},
                                  .hosts = hosts,
                                  .retry_slack = retry_slack});
}

void silence_engines(test::gateway_cluster& cluster, int before_event) {
    for (const auto* id : {"d1", "d2"})
        (void)cluster.server(
            id,
            {{"silences", 1'000}, {"silence_ms", long_silence_ms}, {"silence_before_event", before_event}});
}

/// Several decode engines, whose streams take 0.75 s.
test::gateway_cluster make_engines(const std::string& name, const std::vector<std::string>& engines) {
    test::gateway_cluster_options options{
        .name = name, .servers = {{.id = "p1", .service = "engines", .stage = "prefill"}}};
    for (const std::string& id : engines)
        options.servers.push_back({.id = id, .service = "engines", .stage = "decode", .event_ms = 150});
    return test::gateway_cluster(std::move(options));
}

void stop_answers(test::gateway_cluster& cluster, const std::vector<std::string>& engines, int duration_ms) {
    for (const std::string& id : engines)
        (void)cluster.server(id, {{"silent_ms", duration_ms}});
}

/// The engine that has received most requests.
std::string busiest_of(test::gateway_cluster& cluster, const std::vector<std::string>& engines) {
    return *std::ranges::max_element(engines, {},
                                     [&cluster](const std::string& id) { return cluster.arrivals(id); });
}

std::string complete_stream() {
    std::string text;
    for (int event = 1; event <= 5; ++event)
        text += "id: " + std::to_string(event) + "\ndata: token-" + std::to_string(event) + "\n\n";
    return text;
}

/// Sends that many requests at once and counts the answers that are whole streams.
int count_whole_streams(const test::gateway_cluster& cluster, const std::string& path, int requests,
                        int deadline_ms = 4'000) {
    std::vector<std::future<bool>> answers;
    answers.reserve(static_cast<std::size_t>(requests));
    for (int request = 0; request < requests; ++request)
        answers.push_back(std::async(std::launch::async, [&cluster, &path, request, deadline_ms] {
            wire::http_request sent = routed_request(path, "id-" + std::to_string(request));
            std::ranges::find(sent.headers, "X-Deadline-Ms", &wire::http_header::name)->value =
                std::to_string(deadline_ms);
            const auto answer = stand_in::http_exchange(cluster.callers_address(), sent);
            return answer && answer->status == 200 && answer->body == complete_stream();
        }));
    int whole = 0;
    for (auto& answer : answers)
        whole += answer.get() ? 1 : 0;
    return whole;
}

/// The same in the background, with a deadline that a long silence leaves time for.
std::future<int> send_streams(const test::gateway_cluster& cluster, int requests) {
    return std::async(std::launch::async, [&cluster, requests] {
        return count_whole_streams(cluster, "/resume/", requests, long_deadline_ms);
    });
}

} // namespace

// Guards against aborting a stream that its server would have finished, because the retry budget was asked
// only after the run had been given up.
TEST_CASE("a stream whose server falls silent goes on where the retry budget allows no other run") {
    auto cluster = make_cluster("silent-no-budget", 0);
    silence_engines(cluster, 3);
    CHECK(count_whole_streams(cluster, "/resume/", 8) == 8);
    CHECK(cluster.runs() == 8);
}

// Guards against the same where no engine is left that could take the run.
TEST_CASE("a stream whose server falls silent goes on where no other engine is left") {
    auto cluster = make_cluster("silent-alone", 1'000'000);
    cluster.register_server("d2", "draining", 2);
    REQUIRE(test::eventually(
        [&] { return cluster.state_of(1).at("instances").at("d2").at("listing") == "leaving"; }));
    silence_engines(cluster, 3);
    CHECK(count_whole_streams(cluster, "/resume/", 8) == 8);
    CHECK(cluster.runs() == 8);
}

// Guards against cutting sound runs, whose prompts then have to be processed again elsewhere.
TEST_CASE("a run that falls silent is kept as long as its server shows signs of life") {
    auto cluster = make_cluster("silent-alive", 1'000'000);
    silence_engines(cluster, 3);
    CHECK(count_whole_streams(cluster, "/resume/", 8) == 8);
    CHECK(cluster.runs() == 8);
    CHECK(cluster.metric(1, "stalls_total{end=\"recovered\"}") == 8);
}

// Guards against giving up a run before its first event, with nothing to replace it.
TEST_CASE("a run that is silent before its first event is kept where nothing can replace it") {
    auto cluster = make_cluster("silent-first", 0);
    silence_engines(cluster, 1);
    CHECK(count_whole_streams(cluster, "/resume/", 8) == 8);
    CHECK(cluster.runs() == 8);
}

// Guards against refusing requests, or processing prompts twice, because a prefill engine fell silent.
TEST_CASE("a prefill engine that falls silent and shows signs of life is waited for") {
    auto cluster = make_cluster("silent-prefill", 0);
    (void)cluster.server("p1", {{"silences", 1'000}, {"silence_ms", 1'300}});
    CHECK(count_whole_streams(cluster, "/resume/", 8) == 8);
    CHECK(cluster.server("p1").at("arrivals").size() == 8);
    // Each prompt was processed once.
    for (const auto* id : {"d1", "d2"}) {
        const auto counters = cluster.server(id);
        for (const auto& arrival : counters.at("arrivals"))
            CHECK(arrival.at("headers").contains("X-Cache-Source"));
    }
}

// Guards against holding on to a server that is dead: it must be left although it could still go on.
TEST_CASE("a stream whose server is silent as a whole goes on at another engine") {
    auto cluster = make_cluster("silent-dead", 1'000'000);
    for (const auto* id : {"d1", "d2"})
        (void)cluster.server(id, {{"work_ms", 200}});
    auto answer = std::async(std::launch::async, [&cluster] {
        return stand_in::http_exchange(cluster.callers_address(), routed_request("/resume/", "id-1"));
    });
    REQUIRE(test::eventually([&] { return cluster.runs() == 1; }));
    const std::string first = cluster.arrivals("d1") == 1 ? "d1" : "d2";
    cluster.signal_server(first, SIGSTOP);
    const auto received = answer.get();
    cluster.signal_server(first, SIGCONT);
    REQUIRE(received);
    CHECK(received->body == complete_stream());
    CHECK(cluster.runs() == 2);
}

// Guards against giving up runs for others at engines that fell silent at the same moment, as after a stall
// of the machines or the network that they share: each costs a prompt, retry budget and memory.
TEST_CASE("no run is given up for another while all engines of its service stand still") {
    const std::vector<std::string> engines = {"d1", "d2", "d3"};
    auto cluster = make_engines("silent-together", engines);
    constexpr int requests = 9;
    std::future<int> whole;
    SECTION("between two events") {
        whole = send_streams(cluster, requests);
        REQUIRE(test::eventually([&] { return cluster.runs() == requests; }));
        stop_answers(cluster, engines, long_silence_ms);
    }
    SECTION("before the first event") {
        stop_answers(cluster, engines, long_silence_ms);
        whole = send_streams(cluster, requests);
    }
    CHECK(whole.get() == requests);
    CHECK(cluster.runs() == requests);
    CHECK(cluster.server("p1").at("arrivals").size() == requests);
}

// Guards against keeping runs at a dead engine because others had been silent as well.
TEST_CASE("runs at the engine that does not come back from a common silence go on at another one") {
    const std::vector<std::string> engines = {"d1", "d2", "d3"};
    auto cluster = make_engines("silent-one-stays", engines);
    constexpr int requests = 9;
    auto whole = send_streams(cluster, requests);
    REQUIRE(test::eventually([&] { return cluster.runs() == requests; }));
    const std::string dead = busiest_of(cluster, engines);
    const int lost = cluster.server(dead, {{"silent_ms", never_ending_ms}}).at("running");
    REQUIRE(lost > 0);
    for (const std::string& id : engines)
        if (id != dead)
            stop_answers(cluster, {id}, long_silence_ms);
    const int arrived = cluster.arrivals(dead);
    CHECK(whole.get() == requests);
    CHECK(cluster.runs() == requests + lost);
    CHECK(cluster.arrivals(dead) == arrived);
}

// Guards against holding on to a dead engine until others, which have no work, are heard by chance, and
// against giving up runs at the others.
TEST_CASE("only runs at the one engine of several that stands still go on at others") {
    const std::vector<std::string> engines = {"d1", "d2", "d3", "d4"};
    auto cluster = make_engines("silent-one-of-several", engines);
    // At least two engines have no work.
    constexpr int requests = 2;
    auto whole = send_streams(cluster, requests);
    REQUIRE(test::eventually([&] { return cluster.runs() == requests; }));
    const std::string dead = busiest_of(cluster, engines);
    const int lost = cluster.server(dead, {{"silent_ms", never_ending_ms}}).at("running");
    REQUIRE(lost > 0);
    const int arrived = cluster.arrivals(dead);
    CHECK(whole.get() == requests);
    CHECK(cluster.runs() == requests + lost);
    CHECK(cluster.arrivals(dead) == arrived);
}

// Guards against waiting for a stream that never goes on until no other engine can end it in time.
TEST_CASE("a stream that its server never ends is resumed elsewhere before the caller's deadline") {
    auto cluster = make_cluster("silent-until-deadline", 1'000'000);
    for (const auto* id : {"d1", "d2"})
        (void)cluster.server(id, {{"silences", 1}, {"silence_ms", 60'000}, {"silence_before_event", 2}});
    wire::http_request request = routed_request("/resume/", "id-1");
    // Before the time at which a caller without a deadline would leave.
    const auto deadline = std::ranges::find(request.headers, "X-Deadline-Ms", &wire::http_header::name);
    REQUIRE(deadline != request.headers.end());
    deadline->value = "3000";
    auto received = std::async(std::launch::async, [&cluster, &request] {
        return stand_in::http_exchange(cluster.callers_address(), request);
    });
    REQUIRE(test::eventually([&] { return cluster.runs() == 1; }));
    (void)cluster.server(cluster.arrivals("d1") == 1 ? "d2" : "d1", {{"silences", 0}});
    const auto answer = received.get();
    REQUIRE(answer);
    CHECK(answer->body == complete_stream());
    CHECK(cluster.runs() == 2);
}

// Guards against failing a plain request whose server would have answered it, for want of retry budget.
TEST_CASE("a plain request whose server falls silent is answered where the retry budget allows no other") {
    auto cluster = make_cluster("silent-plain", 0);
    for (const auto* id : {"one", "two"})
        (void)cluster.server(id, {{"silences", 1'000}, {"silence_ms", long_silence_ms}});
    const auto answer = stand_in::http_exchange(cluster.callers_address(), routed_request("/again/", "id-1"));
    REQUIRE(answer);
    CHECK(answer->status == 200);
    CHECK(cluster.runs() == 1);
}
