// SPDX-License-Identifier: BSD-2-Clause
// What upstreams receive of each request beyond its first arrival, counted from what they recorded.
#include <base/clock.h>
#include <support/gateway_cluster.h>
#include <support/test_cluster.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <iostream>
#include <map>
#include <string>
#include <thread>
#include <vector>

using namespace postpaddle;
using namespace std::chrono_literals;
using test::link_fault;
using test::routed_request;

namespace {

/// Of the retry budget, as in the hosts' settings.
constexpr double retry_ratio = 0.2;
constexpr base::duration retry_window = 10s;

const std::vector<std::string> all_engines = {"p1", "p2", "p3", "p4", "d1", "d2", "d3", "d4", "d5", "d6"};

test::gateway_cluster make_engines(const std::string& name, int hosts, double retry_slack) {
    test::gateway_cluster_options options{
        .name = name, .servers = {}, .hosts = hosts, .retry_slack = retry_slack};
    for (const std::string& id : all_engines)
        options.servers.push_back(
            {.id = id, .service = "engines", .stage = id.starts_with('p') ? "prefill" : "decode"});
    return test::gateway_cluster(std::move(options));
}

void close_requests(test::gateway_cluster& cluster, double fraction) {
    for (const std::string& id : all_engines)
        (void)cluster.server(id, {{"closed_fraction", fraction}});
}

/// A request that reached an engine.
struct engine_arrival {
    std::chrono::milliseconds at{};
    std::string attempt;
    bool is_read_prompt = false; ///< A prompt that the engine has answered.
};

/// All that reached the engines, in the order of arrival.
std::vector<engine_arrival> arrivals_of(test::gateway_cluster& cluster) {
    std::vector<engine_arrival> arrivals;
    for (const std::string& id : all_engines) {
        const nlohmann::json counters = cluster.server(id);
        for (const auto& row : counters.at("arrivals")) {
            const auto& headers = row.at("headers");
            const bool is_prompt = headers.value("X-Stage", "") == "prefill";
            arrivals.push_back(
                {.at = std::chrono::milliseconds(static_cast<std::int64_t>(row.at("at_ms").get<double>())),
                 .attempt = headers.at("X-Attempt-Id").get<std::string>(),
                 .is_read_prompt = is_prompt && !row.at("is_closed").get<bool>()});
        }
    }
    std::ranges::stable_sort(arrivals, {}, &engine_arrival::at);
    return arrivals;
}

/// Times of the arrivals that count against the budget: all of a request but its first one. The first prompt
/// that an engine reads is not counted.
std::vector<std::chrono::milliseconds> extra_arrivals(const std::vector<engine_arrival>& arrivals) {
    struct request {
        bool has_read_prompt = false;
        bool has_arrived = false;
    };
    std::map<std::string, request> requests;
    std::vector<std::chrono::milliseconds> extra;
    for (const engine_arrival& arrival : arrivals) {
        request& known = requests[arrival.attempt];
        if (arrival.is_read_prompt && !std::exchange(known.has_read_prompt, true))
            continue;
        if (std::exchange(known.has_arrived, true))
            extra.push_back(arrival.at);
    }
    return extra;
}

/// Sends for which the hosts' retry budget has paid.
double paid_retries(const test::gateway_cluster& cluster, int hosts) {
    double paid = 0;
    for (int host = 1; host <= hosts; ++host)
        paid +=
            cluster.metric(host, "extra_sends_total") - cluster.metric(host, "extra_sends_given_back_total");
    return paid;
}

/// Callers who send streaming requests to all hosts in turn, at a fixed rate.
class paced_callers {
public:
    paced_callers(const test::gateway_cluster& cluster, int hosts, int per_second)
        : cluster(&cluster), hosts(hosts), pause(1'000ms * callers / per_second) {
        for (int number = 0; number < callers; ++number)
            this->threads.emplace_back(
                [this, number](const std::stop_token& stop) { this->run(number, stop); });
    }

    void stop() { this->threads.clear(); }
    [[nodiscard]] int served() const { return this->answered; }
    [[nodiscard]] int sent() const { return this->started; }

private:
    static constexpr int callers = 24;

    void run(int caller, const std::stop_token& stop) {
        auto next = std::chrono::steady_clock::now() + this->pause * caller / callers;
        for (int number = 0; !stop.stop_requested(); ++number) {
            std::this_thread::sleep_until(next);
            next += this->pause;
            ++this->started;
            const auto answer = stand_in::http_exchange(
                this->cluster->callers_address(1 + (caller + number) % this->hosts),
                routed_request("/resume/", "r-" + std::to_string(caller) + "-" + std::to_string(number)));
            this->answered += answer && answer->status == 200 ? 1 : 0;
        }
    }

    const test::gateway_cluster* cluster;
    int hosts;
    std::chrono::milliseconds pause;
    std::atomic<int> answered = 0;
    std::atomic<int> started = 0;
    std::vector<std::jthread> threads;
};

} // namespace

// Guards against a prompt that an engine closed without an answer being taken for the one that is free.
TEST_CASE("without retry budget a request whose prompt is closed without an answer is not sent again") {
    auto cluster = make_engines("closed-prompt", 1, 0);
    close_requests(cluster, 1);
    const auto answer =
        stand_in::http_exchange(cluster.callers_address(), routed_request("/resume/", "id-1"));
    REQUIRE(answer);
    CHECK(answer->status == 503);
    CHECK(arrivals_of(cluster).size() == 1);
}

// Guards against arrivals that no host pays for where engines close connections without an answer.
TEST_CASE("engines that close a share of their requests receive no more than the retry budget allows") {
    constexpr int hosts = 6;
    constexpr int per_second = 60;
    constexpr double slack = 56;
    constexpr auto length = 14s;
    auto cluster = make_engines("closing-engines", hosts, slack);
    for (int host = 1; host <= hosts; ++host)
        REQUIRE(test::eventually([&] { return cluster.has_host_list(host); }));
    paced_callers callers(cluster, hosts, per_second);
    std::this_thread::sleep_for(2s);
    close_requests(cluster, 0.3);
    std::this_thread::sleep_for(length);
    callers.stop();
    const auto arrivals = arrivals_of(cluster);
    const auto extra = extra_arrivals(arrivals);
    const double allowed =
        retry_ratio * per_second * std::chrono::duration<double>(retry_window).count() + slack;
    std::ptrdiff_t most = 0;
    for (auto begin = extra.begin(); begin != extra.end(); ++begin)
        most = std::max(most, std::ranges::lower_bound(begin, extra.end(), *begin + retry_window) - begin);
    const double paid = paid_retries(cluster, hosts);
    std::clog << "retry budget: " << most << " of " << allowed << " extra arrivals in a window, "
              << extra.size() << " in all, " << paid << " of them paid for, " << callers.served() << " of "
              << callers.sent() << " requests served\n";
    CHECK(static_cast<double>(most) <= allowed);
    CHECK(static_cast<double>(extra.size()) <= paid);
}

// Guards against a request whose arrivals are counted anew by each host that it is forwarded to: here one
// that fails to reach one server, has the request refused by another, and gives it back.
TEST_CASE("without retry budget a request that is forwarded and comes back reaches servers once") {
    constexpr int hosts = 4;
    constexpr int requests = 4;
    test::gateway_cluster cluster({.name = "forwarded-back",
                                   .servers = {{.id = "one"}, {.id = "two"}, {.id = "three"}},
                                   .hosts = hosts,
                                   .retry_slack = 0,
                                   .linked_hosts = hosts});
    for (int host = 1; host <= hosts; ++host)
        REQUIRE(test::eventually([&] { return cluster.state_of(host).at("peers").size() == hosts - 1; }));
    for (const auto* id : {"one", "two", "three"})
        (void)cluster.server(id, {{"refuse", 1'000}});
    cluster.set_links(1, link_fault::refuse_new);
    for (int host = 2; host <= hosts; ++host)
        cluster.set_links(host, link_fault::refuse_new, {"one", "two"});
    std::map<std::string, int> arrivals;
    for (int number = 0; number < requests; ++number)
        (void)stand_in::http_exchange(cluster.callers_address(1),
                                      routed_request("/again/", "id-" + std::to_string(number)));
    for (const auto* id : {"one", "two", "three"}) {
        const nlohmann::json counters = cluster.server(id);
        for (const auto& arrival : counters.at("arrivals"))
            ++arrivals[arrival.at("headers").at("X-Attempt-Id").get<std::string>()];
    }
    for (const auto& [id, count] : arrivals) {
        INFO(id);
        CHECK(count == 1);
    }
}
