// SPDX-License-Identifier: BSD-2-Clause
// Guards against requests to a server that has left, while the store forgets the history of its topics. It
// answers such reads all the while, so nothing may be taken for an outage. Counted is what servers received.
#include <support/gateway_cluster.h>
#include <support/late_arrivals.h>
#include <support/test_cluster.h>

#include <catch2/catch.hpp>

#include <csignal>
#include <random>
#include <thread>

using namespace postpaddle;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr int bound_ms = 2'000;
constexpr milliseconds bound{bound_ms};
/// Until a host that has started has been served by the store for as long as an outage is remembered.
constexpr auto settled_time = 4s;
/// For which late requests are counted.
constexpr auto counted_time = 3s;
const std::vector<std::string> all_topics = {test::server_topic, test::operator_topic};

test::gateway_cluster_options options_for(const std::string& name, int hosts) {
    return {.name = name,
            .servers = {{.id = "p1", .service = "engines", .stage = "prefill"},
                        {.id = "d1", .service = "engines", .stage = "decode"},
                        {.id = "one"}},
            .hosts = hosts,
            .leaving_bound_ms = bound_ms};
}

/// Has the store forget at each of these times before now, in descending order, the last of which has come.
void forget_at(test::gateway_cluster& cluster, const std::vector<milliseconds>& times_before,
               const std::vector<std::string>& topics) {
    for (std::size_t number = 0; number < times_before.size(); ++number) {
        const bool is_last = number + 1 == times_before.size();
        cluster.forget_history(topics);
        std::this_thread::sleep_for(times_before[number] - (is_last ? 0ms : times_before[number + 1]));
    }
}

/// Lets each host run for only a part of the time, in turns of its own, for as long as the object lives.
class starved_hosts {
public:
    /// A turn is a pause of at most `longest_pause`, then half as long a run.
    starved_hosts(test::gateway_cluster& cluster, int hosts, milliseconds longest_pause) {
        for (int host = 1; host <= hosts; ++host)
            this->threads.emplace_back([&cluster, host, longest_pause](const std::stop_token& stop) {
                std::mt19937 random(static_cast<unsigned>(host));
                std::uniform_int_distribution<int> pauses(10, static_cast<int>(longest_pause.count()));
                while (!stop.stop_requested()) {
                    const milliseconds pause(pauses(random));
                    cluster.host(host).send_signal(SIGSTOP);
                    std::this_thread::sleep_for(pause);
                    cluster.host(host).send_signal(SIGCONT);
                    std::this_thread::sleep_for(pause / 2);
                }
            });
    }

private:
    std::vector<std::jthread> threads;
};

} // namespace

// Guards against hosts that take reads which they end too late themselves for the store's silence.
TEST_CASE("a server whose entry goes gets no request later than its bound from hosts that hardly run") {
    struct play {
        std::string name;
        milliseconds longest_pause{};
        bool forgets = false; ///< Whether the store forgets its history before and with the entry.
        bool says_so = false; ///< Whether the server says that it leaves, and its entry stays.
    };
    const std::vector<play> plays = {{"short-turns", 100ms, false, false},
                                     {"long-turns", 900ms, false, false},
                                     {"long-turns-forgotten", 900ms, true, false},
                                     {"long-turns-announced", 900ms, true, true}};
    constexpr int host_count = 6;
    for (const play& each : plays) {
        INFO(each.name);
        test::gateway_cluster cluster(options_for("starved-" + each.name, host_count));
        std::this_thread::sleep_for(settled_time);
        const test::host_range hosts = {.first = 1, .last = host_count};
        int late = 0;
        {
            const starved_hosts starved(cluster, host_count, each.longest_pause);
            test::call_hosts(cluster, hosts, 1s);
            REQUIRE(cluster.arrivals("one") > 0);
            if (each.forgets)
                forget_at(cluster, {400ms}, all_topics);
            for (const auto* id : {"d1", "one"}) {
                if (each.says_so)
                    cluster.register_server(id, "draining", 2);
                else if (each.forgets)
                    cluster.drop_server_and_history(id);
                else
                    cluster.drop_server(id);
            }
            if (each.says_so)
                cluster.forget_history({test::server_topic});
            late = test::late_arrivals(cluster, {"d1", "one"}, hosts, bound, 2 * counted_time);
        }
        INFO(test::describe_listing(cluster, "one", hosts));
        CHECK(late == 0);
    }
}

// Guards against hosts that take the store's word that its history is gone for an outage.
TEST_CASE("a server whose entry goes while the store forgets its history gets no request later than its "
          "bound") {
    struct play {
        std::string name;
        std::vector<milliseconds> before; ///< When the history goes before the entry does.
        bool goes_with_entry = false;     ///< Whether it goes again with the entry.
    };
    const std::vector<play> plays = {
        {"with-it", {}, true}, {"before-and-with-it", {500ms}, true}, {"twice-before", {1'500ms, 700ms}}};
    for (const play& each : plays) {
        INFO(each.name);
        test::gateway_cluster cluster(options_for("forgotten-" + each.name, 6));
        std::this_thread::sleep_for(settled_time);
        forget_at(cluster, each.before, {test::server_topic});
        for (const auto* id : {"d1", "one"}) {
            if (each.goes_with_entry)
                cluster.drop_server_and_history(id);
            else
                cluster.drop_server(id);
        }
        const int late =
            test::late_arrivals(cluster, {"d1", "one"}, {.first = 1, .last = 6}, bound, counted_time);
        INFO(test::describe_listing(cluster, "one", {.first = 1, .last = 6}));
        CHECK(late == 0);
    }
}

// Guards against a complaint of hosts that are turned away, to which the lost history of others adds.
TEST_CASE(
    "a server whose entry goes while the store forgets its history and turns hosts away gets no request "
    "later than its bound") {
    struct play {
        std::string mode;
        int hosts = 0;
        int turned_away = 0;
        bool goes_after = false; ///< Whether the history goes again after the entry.
    };
    for (const play& each : {play{"busy", 6, 2, false}, play{"silent", 8, 3, true}}) {
        INFO(each.mode);
        test::gateway_cluster cluster(options_for("forgotten-beside-" + each.mode, each.hosts));
        std::this_thread::sleep_for(settled_time);
        std::vector<std::string> addresses;
        for (int number = 1; number <= each.turned_away; ++number)
            addresses.push_back(cluster.host_ip(number));
        (void)cluster.store({{"mode", each.mode}, {"turned_away", addresses}});
        std::this_thread::sleep_for(bound);
        forget_at(cluster, {400ms}, {test::server_topic});
        for (const auto* id : {"d1", "one"})
            cluster.drop_server(id);
        if (each.goes_after)
            cluster.forget_history({test::server_topic});
        const test::host_range hosts = {.first = 1, .last = each.hosts};
        const int late = test::late_arrivals(cluster, {"d1", "one"}, hosts, bound, counted_time);
        INFO(test::describe_listing(cluster, "one", hosts));
        CHECK(late == 0);
    }
}

// Guards against a doubt that each loss of the history renews.
TEST_CASE("servers whose entries go in series, while the store forgets the history of all topics each time, "
          "get no request later than their bound") {
    constexpr int host_count = 8;
    const test::host_range hosts = {.first = 1, .last = host_count};
    auto options = options_for("forgotten-in-series", host_count);
    const std::vector<std::string> engines = {"d1", "d2", "d3"};
    for (const std::string& id : engines)
        if (id != "d1")
            options.servers.push_back({.id = id, .service = "engines", .stage = "decode"});
    test::gateway_cluster cluster(options);
    std::this_thread::sleep_for(settled_time);
    for (std::size_t gone = 0; gone < engines.size(); ++gone) {
        forget_at(cluster, {300ms}, all_topics);
        cluster.drop_server(engines[gone]);
        const std::vector<std::string> left(engines.begin(), engines.begin() + static_cast<long>(gone) + 1);
        INFO("with " << gone + 1 << " engines gone");
        CHECK(test::late_arrivals(cluster, left, hosts, bound, 500ms) == 0);
    }
}

// Guards against hosts that go on with an old registry as if the store answered nobody, although it only
// forgot records that none of them had read.
TEST_CASE("a server whose entry goes among records that the store forgets before any host has read them gets "
          "no request later than its bound, and the others are used again once they are listed") {
    test::gateway_cluster cluster(options_for("forgotten-unread", 4));
    const test::host_range hosts = {.first = 1, .last = 4};
    std::this_thread::sleep_for(settled_time);
    // Until listings are current again, nothing that the store answers names the record.
    (void)cluster.store({{"stale_listings", true}});
    cluster.drop_server_and_history("one");
    const int late = test::late_arrivals(cluster, {"one"}, hosts, bound, counted_time);
    INFO(test::describe_listing(cluster, "one", hosts));
    CHECK(late == 0);
    (void)cluster.store({{"stale_listings", false}});
    CHECK(test::eventually([&] { return test::status_at(cluster, 4, "/resume/") == 200; }));
}

// Guards the reason for the doubt: entries may lapse while the store is away, also if its history goes
// meanwhile.
TEST_CASE(
    "upstreams whose entries lapsed while the store was away and forgot its history are used until they "
    "are listed again") {
    test::gateway_cluster cluster(options_for("lapsed-and-forgotten", 3));
    std::this_thread::sleep_for(settled_time);
    (void)cluster.store({{"mode", "busy"}});
    std::this_thread::sleep_for(bound + 1s);
    for (const auto* id : {"d1", "one"})
        cluster.drop_server_and_history(id);
    (void)cluster.store({{"mode", ""}});
    REQUIRE(test::await_listing(cluster, 3, "one", false));
    CHECK(test::count_served(cluster, {.first = 1, .last = 3}) == 6);
    for (const auto* id : {"d1", "one"})
        cluster.register_server(id, "ready", 2);
    CHECK(test::await_listing(cluster, 3, "one", true));
}
