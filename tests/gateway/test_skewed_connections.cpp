// SPDX-License-Identifier: BSD-2-Clause
// A load balancer that hands most new connections to one host for some seconds, then to another one. Guards
// against a host that refuses what the cluster has room for, as its share of something is sized for an even
// spread.
#include <base/clock.h>
#include <support/gateway_cluster.h>
#include <support/test_cluster.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <random>
#include <thread>
#include <vector>

using namespace postpaddle;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr int hosts = 4;
/// Time within which hosts have to adapt to the skew.
constexpr auto contact_time = 2s;
/// Period over which requests are counted.
constexpr auto window = 2s;
/// Of the connections, while one host gets most of them.
constexpr double skewed_fraction = 0.9;
/// Served while the connections are skewed, as a fraction of what was served before.
constexpr double min_served_fraction = 0.75;

struct caller_options {
    std::string path = "/again/";
    double rate_per_s = 0;
    wire::http_headers headers{};
};

struct counts {
    int asked = 0;
    int served = 0;
};

/// Sends requests at a constant rate, each over a new connection to a random host. A request that gets no
/// answer, for example as its connection was refused, is sent once more and counts by that.
class callers_at_rate {
public:
    callers_at_rate(const test::gateway_cluster& cluster, caller_options caller)
        : cluster(&cluster), options(std::move(caller)) {
        for (int thread = 0; thread < thread_count; ++thread)
            this->threads.emplace_back(
                [this, thread](const std::stop_token& stop) { this->run(thread, stop); });
    }

    ~callers_at_rate() {
        for (std::jthread& thread : this->threads)
            thread.request_stop();
    }
    callers_at_rate(const callers_at_rate&) = delete;
    callers_at_rate(callers_at_rate&&) = delete;
    callers_at_rate& operator=(const callers_at_rate&) = delete;
    callers_at_rate& operator=(callers_at_rate&&) = delete;

    /// The host that gets most connections; 0: none.
    void skew_to(int host) { this->preferred_host = host; }

    counts count_in_window() {
        const counts before = {this->asked, this->served};
        std::this_thread::sleep_for(window);
        return {this->asked - before.asked, this->served - before.served};
    }

private:
    static constexpr int thread_count = 64;

    void run(int thread, const std::stop_token& stop) {
        std::mt19937 random(static_cast<unsigned>(thread));
        const base::duration interval = base::from_seconds(thread_count / this->options.rate_per_s);
        const base::time_point begin = base::boot_clock::now() + interval * thread / thread_count;
        for (int number = 0; !stop.stop_requested(); ++number) {
            std::this_thread::sleep_until(begin + interval * number);
            this->send("skewed-" + std::to_string(thread) + "-" + std::to_string(number), random);
        }
    }

    int choose_host(std::mt19937& random) const {
        const int preferred = this->preferred_host;
        if (preferred > 0 && std::bernoulli_distribution(skewed_fraction)(random))
            return preferred;
        return std::uniform_int_distribution<int>(1, hosts)(random);
    }

    void send(const std::string& id, std::mt19937& random) {
        auto request = test::routed_request(this->options.path, id);
        request.headers.insert(request.headers.end(), this->options.headers.begin(),
                               this->options.headers.end());
        auto answer =
            stand_in::http_exchange(this->cluster->callers_address(this->choose_host(random)), request);
        if (!answer)
            answer =
                stand_in::http_exchange(this->cluster->callers_address(this->choose_host(random)), request);
        ++this->asked;
        if (answer && answer->status == 200)
            ++this->served;
    }

    const test::gateway_cluster* cluster;
    caller_options options;
    std::atomic<int> preferred_host = 0;
    std::atomic<int> asked = 0;
    std::atomic<int> served = 0;
    std::vector<std::jthread> threads;
};

double served_fraction(const counts& counted) {
    return counted.asked > 0 ? static_cast<double>(counted.served) / counted.asked : 0;
}

void check_served_while_skewed(const test::gateway_cluster& cluster, const caller_options& options) {
    callers_at_rate callers(cluster, options);
    std::this_thread::sleep_for(contact_time);
    const double before = served_fraction(callers.count_in_window());
    CHECK(before > 0.95);
    for (const int host : {1, 2}) {
        callers.skew_to(host);
        std::this_thread::sleep_for(contact_time);
        const double skewed = served_fraction(callers.count_in_window());
        CAPTURE(host, before, skewed);
        CHECK(skewed >= min_served_fraction * before);
    }
}

} // namespace

TEST_CASE("while most new connections go to one host, as many requests are served as before") {
    SECTION("by plain upstreams that report their load") {
        test::gateway_cluster cluster({.name = "skew-load",
                                       .servers = {{.id = "one"}, {.id = "two"}, {.id = "three"}},
                                       .hosts = hosts});
        for (const auto* id : {"one", "two", "three"})
            (void)cluster.server(id, {{"slots", 4}, {"queue", 2}, {"work_ms", 40}});
        check_served_while_skewed(cluster, {.rate_per_s = 180});
    }
    SECTION("by plain upstreams that advertise limits") {
        test::gateway_cluster cluster({.name = "skew-limits",
                                       .servers = {{.id = "one"}, {.id = "two"}, {.id = "three"}},
                                       .hosts = hosts});
        for (const auto* id : {"one", "two", "three"})
            (void)cluster.server(id, {{"limit", "50"}});
        check_served_while_skewed(cluster, {.rate_per_s = 90});
    }
    SECTION("by prefill and decode engines") {
        std::vector<test::server_plan> plans = {{.id = "p1", .service = "engines", .stage = "prefill"},
                                                {.id = "p2", .service = "engines", .stage = "prefill"}};
        for (const auto* id : {"d1", "d2", "d3"})
            plans.push_back({.id = id, .service = "engines", .stage = "decode", .event_ms = 60});
        test::gateway_cluster cluster({.name = "skew-engines", .servers = plans, .hosts = hosts});
        check_served_while_skewed(cluster, {.path = "/stream/", .rate_per_s = 80});
    }
    SECTION("of an organisation within its limit") {
        test::gateway_cluster cluster(
            {.name = "skew-organisation", .servers = {{.id = "one"}}, .hosts = hosts});
        cluster.publish_organisations(2, json::array({{{"name", "studio"},
                                                       {"apiKeys", {"secret"}},
                                                       {"priority", 1},
                                                       {"ratePerS", 60},
                                                       {"burst", 60}}}));
        REQUIRE(test::eventually([&] {
            for (int host = 1; host <= hosts; ++host)
                if (settings_version_at(cluster, host) != 2)
                    return false;
            return true;
        }));
        check_served_while_skewed(cluster,
                                  {.rate_per_s = 45, .headers = {{"Authorization", "Token secret"}}});
    }
    SECTION("though one request in eight needs another attempt") {
        test::gateway_cluster cluster({.name = "skew-retries",
                                       .servers = {{.id = "one"}, {.id = "two"}, {.id = "three"}},
                                       .hosts = hosts,
                                       .retry_slack = 8});
        std::jthread rejecting([&cluster](const std::stop_token& stop) {
            for (; !stop.stop_requested(); std::this_thread::sleep_for(100ms))
                (void)cluster.server("one", {{"refuse", 1}});
        });
        check_served_while_skewed(cluster, {.rate_per_s = 80});
    }
}
