// SPDX-License-Identifier: BSD-2-Clause
// Guards against requests that a host takes while it stops, in the grace that is left, and then breaks off or
// leaves in doubt.
#include <support/gateway_cluster.h>
#include <support/test_cluster.h>

#include <catch2/catch.hpp>

#include <csignal>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace postpaddle;
using namespace std::chrono_literals;

namespace {

constexpr int event_ms = 30;
constexpr int long_tokens = 90; ///< 2.7 s, which is more than is left at any time of the grace.
constexpr int short_tokens = 5;
constexpr int grace_ms = 3'000;

std::string request_text(const std::string& path, const std::string& id, int tokens) {
    return "POST " + path + " HTTP/1.1\r\nHost: cluster.example\r\nX-Attempt-Id: " + id +
           "\r\nX-Deadline-Ms: 4500\r\nX-Token-Usage: 100," + std::to_string(tokens) +
           "\r\nContent-Length: 4\r\n\r\nbody";
}

enum class request_result { complete, refused, broken };

/// Whether the answer is a whole one to a plain request (`tokens` 0) or a stream with that many events.
bool is_whole(const std::string& answer, int tokens) {
    if (!answer.starts_with("HTTP/1.1 200"))
        return false;
    if (tokens == 0)
        return answer.find("\r\n\r\n") != std::string::npos;
    return answer.ends_with("0\r\n\r\n") &&
           answer.find("id: " + std::to_string(tokens) + "\n") != std::string::npos;
}

request_result result_of(const std::string& answer, int tokens) {
    if (is_whole(answer, tokens))
        return request_result::complete;
    const bool is_refused = answer.starts_with("HTTP/1.1 503") &&
                            answer.find("Retry-After: ") != std::string::npos &&
                            answer.find("Postpaddle-Outcome: not-run") != std::string::npos;
    return is_refused ? request_result::refused : request_result::broken;
}

/// A request that has arrived but for its last byte.
struct held_request {
    held_request(const test::gateway_cluster& cluster, int host, const std::string& path, int token_limit,
                 int number)
        : tokens(token_limit),
          connection(cluster.callers_address(host), first_part(path, token_limit, host, number)) {}

    static std::string first_part(const std::string& path, int tokens, int host, int number) {
        std::string text =
            request_text(path, "held-" + std::to_string(host) + "-" + std::to_string(number) + path, tokens);
        text.pop_back();
        return text;
    }
    request_result complete() {
        this->connection.send("y");
        this->text = this->connection.read_all();
        return result_of(this->text, this->tokens);
    }

    int tokens = 0; ///< Of a stream; 0 for a plain request.
    test::client_connection connection;
    std::string text; ///< Of the answer.
};

struct result_counts {
    int complete = 0;
    int refused = 0;
    int broken = 0;
    std::string first_broken;
};

void count(result_counts& counts, request_result result, const std::string& answer) {
    counts.complete += result == request_result::complete ? 1 : 0;
    counts.refused += result == request_result::refused ? 1 : 0;
    counts.broken += result == request_result::broken ? 1 : 0;
    if (result == request_result::broken && counts.first_broken.empty())
        counts.first_broken = answer;
}

using held_requests = std::vector<std::unique_ptr<held_request>>;

/// Completes the requests one after the other, at that interval.
result_counts complete_all(held_requests& requests, std::chrono::milliseconds interval) {
    std::vector<std::future<request_result>> results;
    results.reserve(requests.size());
    for (const auto& request : requests) {
        std::this_thread::sleep_for(interval);
        results.push_back(std::async(std::launch::async, [&request] { return request->complete(); }));
    }
    result_counts counts;
    for (std::size_t number = 0; number < requests.size(); ++number)
        count(counts, results[number].get(), requests[number]->text);
    return counts;
}

/// Stops the host and completes the requests one after the other, at that interval.
result_counts stop_beside(test::gateway_cluster& cluster, int host, held_requests& requests,
                          std::chrono::milliseconds interval) {
    cluster.host(host).send_signal(SIGTERM);
    return complete_all(requests, interval);
}

/// Holds streams at a host, long and short ones in turn.
held_requests hold_streams(const test::gateway_cluster& cluster, int host, const std::string& path,
                           int count) {
    held_requests streams;
    for (int number = 0; number < count; ++number)
        streams.push_back(std::make_unique<held_request>(
            cluster, host, path, number % 2 == 0 ? long_tokens : short_tokens, number));
    return streams;
}

/// Sends short streams through a host, so that it knows their pace.
void send_short_streams(const test::gateway_cluster& cluster, int host, const std::string& path) {
    constexpr int count = 12;
    for (int number = 0; number < count; ++number) {
        auto request =
            test::routed_request(path, "warm-" + std::to_string(host) + "-" + std::to_string(number));
        for (auto& header : request.headers)
            if (header.name == "X-Token-Usage")
                header.value = "100," + std::to_string(short_tokens);
        REQUIRE(stand_in::http_exchange(cluster.callers_address(host), request));
    }
}

std::vector<test::server_plan> engine_plans() {
    return {
        {.id = "p1", .service = "engines", .stage = "prefill"},
        {.id = "d1", .service = "engines", .stage = "decode", .event_ms = event_ms, .names_requests = true}};
}

} // namespace

// Guards against a host that goes by the mean of what streams took, which was short.
TEST_CASE(
    "a stopping host breaks off no stream that it takes late in its grace, and still takes those that are "
    "short") {
    const std::string path = GENERATE(as<std::string>{}, "/stream/", "/resume/");
    constexpr int hosts = 2;
    constexpr int streams_of_a_kind = 8;
    test::gateway_cluster cluster(
        {.name = "late-streams", .servers = engine_plans(), .hosts = hosts, .grace_ms = grace_ms});
    for (int host = 1; host <= hosts; ++host)
        send_short_streams(cluster, host, path);
    // One after the other: the second is told to stop while the first one's grace runs.
    std::vector<held_requests> streams;
    for (int host = 1; host <= hosts; ++host)
        streams.push_back(hold_streams(cluster, host, path, 2 * streams_of_a_kind));
    std::vector<std::future<result_counts>> stops;
    for (int host = 1; host <= hosts; ++host) {
        stops.push_back(std::async(std::launch::async, [&cluster, &streams, host] {
            return stop_beside(cluster, host, streams[static_cast<std::size_t>(host) - 1], 80ms);
        }));
        std::this_thread::sleep_for(500ms);
    }
    for (auto& stop : stops) {
        const result_counts counts = stop.get();
        INFO(path << ": " << counts.complete << " complete, " << counts.refused
                  << " refused, first broken one: " << counts.first_broken);
        CHECK(counts.broken == 0);
        CHECK(counts.complete >= streams_of_a_kind / 2);
    }
    for (int host = 1; host <= hosts; ++host)
        CHECK(cluster.host(host).wait() == 0);
}

// Guards against plain requests that upstreams begin to run too late in the grace: their callers would not
// learn whether they ran.
TEST_CASE("a stopping host leaves no plain request in doubt that it takes late in its grace") {
    const std::string path = GENERATE(as<std::string>{}, "/once/", "/again/");
    const int warm_up_requests = GENERATE(0, 9);
    constexpr int requests = 16;
    constexpr int work_ms = 1'200;
    test::gateway_cluster cluster({.name = "late-plain",
                                   .servers = {{.id = "one", .event_ms = work_ms},
                                               {.id = "two", .event_ms = work_ms},
                                               {.id = "three", .event_ms = work_ms}},
                                   .hosts = 2,
                                   .grace_ms = grace_ms});
    held_requests warm_up;
    for (int number = 0; number < warm_up_requests; ++number)
        warm_up.push_back(std::make_unique<held_request>(cluster, 1, path, 0, requests + number));
    CHECK(complete_all(warm_up, 0ms).complete == warm_up_requests);
    held_requests late;
    for (int number = 0; number < requests; ++number)
        late.push_back(std::make_unique<held_request>(cluster, 1, path, 0, number));
    const result_counts counts = stop_beside(cluster, 1, late, 160ms);
    INFO(path << " after " << warm_up_requests << ": " << counts.complete << " complete, " << counts.refused
              << " refused, first broken one: " << counts.first_broken);
    CHECK(counts.broken == 0);
    CHECK(counts.complete >= (warm_up_requests > 0 ? 2 : 0));
    CHECK(cluster.host(1).wait() == 0);
}

// Guards against streams that a host passes on to another one, where either of the two stops.
TEST_CASE("a host that stops breaks off no stream that it forwards, nor one that is forwarded to it") {
    const std::vector<int> stopping = GENERATE(std::vector{1}, std::vector{2}, std::vector{2, 1});
    constexpr int hosts = 3;
    constexpr int streams = 16;
    test::gateway_cluster cluster({.name = "late-forwarded",
                                   .servers = engine_plans(),
                                   .hosts = hosts,
                                   .grace_ms = grace_ms,
                                   .linked_hosts = 1});
    REQUIRE(test::eventually([&] { return cluster.state_of(1).at("peers").size() == hosts - 1; }));
    for (int host = 1; host <= hosts; ++host)
        send_short_streams(cluster, host, "/stream/");
    cluster.set_links(1, test::link_fault::reset);
    // Until the host knows that it reaches no engine, what it sends may fail.
    REQUIRE(test::eventually([&] {
        (void)stand_in::http_exchange(cluster.callers_address(1), test::routed_request("/resume/", "probe"));
        return cluster.metric(1, "forwarded_total{result=\"answered\"}") > 0;
    }));
    held_requests held = hold_streams(cluster, 1, "/stream/", streams);
    for (const int host : stopping) {
        std::this_thread::sleep_for(200ms);
        cluster.host(host).send_signal(SIGTERM);
    }
    const result_counts seen = complete_all(held, 80ms);
    INFO(stopping.size() << " from " << stopping.front() << ": " << seen.complete << " complete, "
                         << seen.refused << " refused, first broken one: " << seen.first_broken);
    CHECK(seen.broken == 0);
    CHECK(seen.complete >= streams / 4);
    for (const int host : stopping)
        CHECK(cluster.host(host).wait() == 0);
}

// Guards against a grace that is shortened for what a host has taken already.
TEST_CASE("a reload that shortens the grace of a host that stops breaks off none of its streams") {
    test::gateway_cluster cluster(
        {.name = "reload-in-stop", .servers = engine_plans(), .hosts = 1, .grace_ms = 2 * grace_ms});
    send_short_streams(cluster, 1, "/stream/");
    held_requests held = hold_streams(cluster, 1, "/stream/", 8);
    auto counts = std::async(std::launch::async, [&] { return complete_all(held, 0ms); });
    std::this_thread::sleep_for(300ms);
    cluster.host(1).send_signal(SIGTERM);
    // Of two signals that wait, the system may deliver the later one first.
    REQUIRE(test::eventually([&] { return cluster.state_of(1).at("is_draining").get<bool>(); }));
    cluster.reload_with_grace(1, 600ms);
    const result_counts seen = counts.get();
    INFO(seen.first_broken);
    CHECK(seen.complete == 8);
    CHECK(cluster.host(1).wait() == 0);
}
