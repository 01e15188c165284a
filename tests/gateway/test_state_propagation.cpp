// SPDX-License-Identifier: BSD-2-Clause
#include <support/gateway_cluster.h>
#include <support/test_cluster.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>

using namespace postpaddle;
using test::status_at;

namespace {

std::string listing_at(const test::gateway_cluster& cluster, int host, const std::string& id) {
    const auto state = cluster.state_of(host);
    const bool is_known = state.is_object() && state.at("instances").contains(id);
    return is_known ? state.at("instances").at(id).at("listing").get<std::string>() : "";
}

/// Why these hosts have begun to read the store, and how often.
std::string describe_readers(const test::gateway_cluster& cluster, const std::vector<int>& readers) {
    std::string text;
    for (const int host : readers) {
        text += "host " + std::to_string(host) + ":";
        for (const std::string reason : {"start", "leader", "old", "behind"})
            text += " " + reason + " " +
                    std::to_string(static_cast<int>(
                        cluster.metric(host, "store_duties_total{reason=\"" + reason + "\"}")));
        text += "; ";
    }
    return text;
}

} // namespace

TEST_CASE("new settings versions take effect on every host and older ones are ignored") {
    test::gateway_cluster cluster({.name = "versions", .servers = {{.id = "one"}}, .hosts = 2});
    cluster.publish(4, true);
    for (const int host : {1, 2}) {
        CHECK(test::eventually([&] { return settings_version_at(cluster, host) == 4; }));
        CHECK(status_at(cluster, host, "/extra/") == 200);
    }
    cluster.publish(3, false);
    cluster.publish(5, true);
    for (const int host : {1, 2}) {
        CHECK(test::eventually([&] { return settings_version_at(cluster, host) == 5; }));
        CHECK(status_at(cluster, host, "/extra/") == 200);
    }
}

TEST_CASE("a host that the store rejects learns settings and upstreams from another host") {
    for (const auto* mode : {"busy", "reset", "silent"}) {
        INFO(mode);
        test::gateway_cluster cluster({.name = std::string("turned-away-") + mode,
                                       .servers = {{.id = "one"}, {.id = "two"}},
                                       .hosts = 2});
        (void)cluster.store({{"mode", mode}, {"turned_away", {cluster.host_ip(2)}}});
        cluster.publish(2, true);
        cluster.register_server("two", "draining", 2);
        CHECK(test::eventually([&] { return settings_version_at(cluster, 2) == 2; }));
        CHECK(test::eventually([&] { return listing_at(cluster, 2, "two") == "leaving"; }));
        CHECK(status_at(cluster, 2, "/extra/") == 200);
        (void)cluster.store({{"mode", ""}});
        cluster.publish(3, false);
        CHECK(test::eventually([&] { return settings_version_at(cluster, 2) == 3; }));
    }
}

TEST_CASE("while the store is down hosts keep serving, and a new host bootstraps from a seed") {
    test::gateway_cluster cluster({.name = "store-down", .servers = {{.id = "one"}}, .hosts = 1});
    (void)cluster.store({{"mode", "busy"}});
    CHECK(status_at(cluster, 1, "/again/") == 200);
    cluster.start_host(2);
    CHECK(test::eventually([&] { return cluster.is_ready(2); }));
    CHECK(status_at(cluster, 2, "/again/") == 200);
}

TEST_CASE("a leaving server gets no new requests, even after late heartbeats") {
    test::gateway_cluster cluster({.name = "leaving", .servers = {{.id = "one"}, {.id = "two"}}});
    cluster.register_server("one", "draining", 2);
    cluster.register_server("one", "ready", 3);
    REQUIRE(test::eventually([&] { return listing_at(cluster, 1, "one") == "leaving"; }));
    for (int request = 0; request < 10; ++request)
        CHECK(status_at(cluster, 1, "/again/") == 200);
    CHECK(cluster.arrivals("one") == 0);
    (void)cluster.store({{"drop", {{"topic", "keyed.servers"}, {"key", "two"}}}});
    REQUIRE(test::eventually([&] { return listing_at(cluster, 1, "two") == "vanished"; }));
    CHECK(status_at(cluster, 1, "/again/") == 503);
}

TEST_CASE("topics are read again completely after the store lost its history") {
    test::gateway_cluster cluster({.name = "forgotten", .servers = {{.id = "one"}, {.id = "two"}}});
    (void)cluster.store({{"mode", "reset"}});
    cluster.publish(2, true);
    cluster.register_server("two", "draining", 2);
    (void)cluster.store({{"forget", nlohmann::json::array({"keyed.op"})}});
    (void)cluster.store({{"forget", nlohmann::json::array({"keyed.servers"})}, {"mode", ""}});
    CHECK(test::eventually([&] { return settings_version_at(cluster, 1) == 2; }));
    CHECK(test::eventually([&] { return listing_at(cluster, 1, "two") == "leaving"; }));
}

TEST_CASE("a killed host restores its state from the store") {
    test::gateway_cluster cluster({.name = "killed", .servers = {{.id = "one"}}});
    cluster.publish(2, true);
    REQUIRE(test::eventually([&] { return settings_version_at(cluster, 1) == 2; }));
    cluster.host(1).send_signal(SIGKILL);
    (void)cluster.host(1).wait();
    cluster.start_host(1);
    CHECK(test::eventually([&] { return cluster.is_ready(1); }));
    CHECK(status_at(cluster, 1, "/extra/") == 200);
}

TEST_CASE("reloading an invalid settings file changes nothing and the host keeps serving") {
    test::gateway_cluster cluster({.name = "reload", .servers = {{.id = "one"}}});
    cluster.host(1).send_signal(SIGHUP);
    CHECK(status_at(cluster, 1, "/again/") == 200);
    CHECK(cluster.is_ready(1));
}

TEST_CASE("operators can see a host's state and find the trace of a request on any host") {
    test::gateway_cluster cluster({.name = "operators", .servers = {{.id = "one"}}, .hosts = 2});
    REQUIRE(test::eventually([&] { return cluster.state_of(1).at("peers").contains("host-2"); }));
    CHECK(status_at(cluster, 2, "/again/") == 200);
    const auto run = [&](const std::vector<std::string>& words) {
        std::vector<std::string> flags = {"gateway"};
        flags.insert(flags.end(), words.begin(), words.end());
        flags.push_back("--host=" + cluster.peers_address(1));
        stand_in::child_process command(std::string(POSTPADDLE_PROGRAMS) + "/postpaddle", flags, "/dev/null");
        std::string text = command.read_to_end();
        return std::pair(command.wait(), std::move(text));
    };
    const auto [state_code, state] = run({});
    CHECK(state_code == 0);
    CHECK(state.find("settings version 1") != std::string::npos);
    INFO(state);
    CHECK(state.find("one") != std::string::npos);
    const auto [story_code, story] = run({"id-/again/"});
    INFO(story);
    CHECK(story_code == 0);
    CHECK(story.find("\"host\": \"host-2\"") != std::string::npos);
    CHECK(story.find("\"ending\": \"passed_on\"") != std::string::npos);
    CHECK(run({"unknown"}).first == 1);
}

TEST_CASE("the timeout for a slow store grows with each attempt, so that a host can start") {
    test::gateway_cluster cluster({.name = "late-store", .servers = {{.id = "one"}}, .hosts = 0});
    (void)cluster.store({{"slow_ms", 1'300}});
    cluster.start_host(1);
    CHECK(test::eventually([&] { return cluster.is_ready(1); }));
}

TEST_CASE("malformed heartbeats are ignored and the host keeps serving") {
    test::gateway_cluster cluster({.name = "malformed", .servers = {{.id = "one"}}});
    for (const auto* body : {"no json", R"({"host":7})", R"({"host":"x","address":5})",
                             R"({"host":"x","address":"127.0.0.1:1","settings_version":"z"})",
                             R"({"host":"x","address":"127.0.0.1:1","hosts":[1,2]})"})
        (void)stand_in::http_exchange(cluster.peers_address(),
                                      {"POST", "/peers/heartbeat", {{"Host", "host"}}, body});
    CHECK(status_at(cluster, 1, "/again/") == 200);
    CHECK(cluster.is_ready(1));
}

TEST_CASE("a server that one host finds dead is marked out of service on the other hosts") {
    test::gateway_cluster cluster({.name = "ended", .servers = {{.id = "one"}, {.id = "two"}}, .hosts = 2});
    cluster.kill_server("one");
    // The only other server refuses, so that the host tries the dead one.
    (void)cluster.server("two", {{"refuse", 1}});
    (void)status_at(cluster, 1, "/once/");
    CHECK(test::eventually([&] {
        return cluster.state_of(2).at("instances").at("one").at("is_out_of_service_elsewhere").get<bool>();
    }));
}

TEST_CASE("in a large cell two leaders read the store for all hosts and are replaced when they die") {
    static constexpr int hosts = 18;
    test::gateway_cluster cluster(
        {.name = "large-cell", .servers = {{.id = "one"}, {.id = "two"}}, .hosts = hosts});
    const auto hosts_with = [&](const char* field) {
        std::vector<int> found;
        for (int host = 1; host <= hosts; ++host) {
            const auto state = cluster.state_of(host);
            if (state.is_object() && state.at(field).get<bool>())
                found.push_back(host);
        }
        return found;
    };
    // Another host reads for a moment if updates reach it late, so that it keeps the bound.
    std::vector<int> first_readers;
    const bool do_two_read = test::eventually([&] {
        first_readers = hosts_with("reads_store");
        return first_readers.size() == 2 && first_readers == hosts_with("leads_cell");
    });
    INFO(describe_readers(cluster, first_readers));
    REQUIRE(do_two_read);

    cluster.publish(2, true);
    cluster.register_server("one", "draining", 2);
    for (int host = 1; host <= hosts; ++host) {
        CHECK(test::eventually([&] { return settings_version_at(cluster, host) == 2; }));
        CHECK(test::eventually([&] { return listing_at(cluster, host, "one") == "leaving"; }));
    }

    for (const int reader : first_readers) {
        cluster.host(reader).send_signal(SIGKILL);
        (void)cluster.host(reader).wait();
    }
    cluster.publish(3, false);
    cluster.register_server("two", "draining", 2);
    for (int host = 1; host <= hosts; ++host) {
        if (std::ranges::find(first_readers, host) != first_readers.end())
            continue;
        CHECK(test::eventually([&] { return settings_version_at(cluster, host) == 3; }));
        CHECK(test::eventually([&] { return listing_at(cluster, host, "two") == "leaving"; }));
    }
}
