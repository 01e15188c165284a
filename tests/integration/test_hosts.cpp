// SPDX-License-Identifier: BSD-2-Clause
#include <support/test_cluster.h>

#include <common/generated_text.h>
#include <wire/http_client.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <csignal>
#include <mutex>
#include <thread>

namespace {

using namespace postpaddle;
using namespace postpaddle::test;
using nlohmann::json;

wire::http_request trade_request(const std::string& key, const std::string& body = "{}") {
    return wire::json_request("/trades/1", body,
                              {{"Authorization", "Bearer left-key"}, {"Idempotency-Key", key}});
}

std::uint64_t revision_of(const stand_in::cluster& cluster, const stand_in::running_host& host) {
    const json state = cluster.state(host);
    return state.is_object() ? state.at("control").at("settings").at("revision").get<std::uint64_t>() : 0;
}

std::string member_state(const stand_in::cluster& cluster, const stand_in::running_host& observer,
                         const std::string& name) {
    const json state = cluster.state(observer);
    if (state.is_object())
        for (const json& member : state.at("control").at("members"))
            if (member.at("n") == name)
                return member.at("life");
    return "";
}

/// Publishes a change of one setting; returns the publisher's exit code and output.
std::pair<int, std::string> publish_change(const stand_in::cluster& cluster, const std::string& assignment,
                                           const std::string& author, const std::string& base = "0") {
    stand_in::child_process publisher(cluster.options.programs + "/postpaddle",
                                      {"publish", "--set=" + assignment, "--log=" + cluster.log_address,
                                       "--host=" + cluster.hosts[0].operators_address, "--author=" + author,
                                       "--base=" + base, std::string("--token=") + stand_in::operators_token},
                                      cluster.options.folder + "/publish.log");
    std::string output = publisher.read_to_end();
    return {publisher.wait(), output};
}

constexpr const char* limit_setting = "root/settings/limits/concurrent_requests=";

} // namespace

TEST_CASE("of two concurrent changes with the same base one is rejected, naming the other's author") {
    stand_in::cluster cluster(small_cluster_options("race", 2));
    REQUIRE(cluster.publish(cluster_document()));
    REQUIRE(eventually([&] { return member_state(cluster, cluster.hosts[0], "host-2") == "alive"; }));
    const std::string base = std::to_string(revision_of(cluster, cluster.hosts[0]));
    std::vector<std::pair<int, std::string>> results(2);
    std::thread first(
        [&] { results[0] = publish_change(cluster, std::string(limit_setting) + "301", "ann", base); });
    std::thread second(
        [&] { results[1] = publish_change(cluster, std::string(limit_setting) + "302", "bo", base); });
    first.join();
    second.join();
    const bool is_first_winner = results[0].first == 0;
    const auto& winner = results[is_first_winner ? 0 : 1];
    const auto& loser = results[is_first_winner ? 1 : 0];
    CHECK(winner.first == 0);
    CHECK_THAT(winner.second, Catch::Contains("in force on host-1 host-2"));
    CHECK(loser.first == 4);
    CHECK_THAT(loser.second, Catch::Contains(is_first_winner ? "by ann" : "by bo"));
}

TEST_CASE(
    "a settings change whose append response is lost is applied once and its publisher gets the result") {
    stand_in::cluster cluster(small_cluster_options("lost-answer", 2));
    REQUIRE(cluster.publish(cluster_document()));
    const auto before = stand_in::get_json(cluster.log_address, "/counters")
                            .at("streams")
                            .at("settings")
                            .at("next")
                            .get<int>();
    stand_in::post_json(cluster.log_address, "/control", {{"lose_answers", 1}});
    const auto result = publish_change(cluster, std::string(limit_setting) + "333", "ann");
    CHECK(result.first == 0);
    const auto after = stand_in::get_json(cluster.log_address, "/counters")
                           .at("streams")
                           .at("settings")
                           .at("next")
                           .get<int>();
    CHECK(after == before + 1);
}

TEST_CASE("without the log non-repeatable requests are refused as not run and others are served") {
    stand_in::cluster cluster(small_cluster_options("log-down", 2));
    REQUIRE(cluster.publish(cluster_document()));
    cluster.wait_until_ready();
    cluster.set_link_faults("log", {{"cut", true}});
    const std::string key = generate_uuid7();
    const auto refused = stand_in::http_exchange(cluster.hosts[0].callers_address, trade_request(key));
    REQUIRE(refused);
    CHECK(refused->status == 503);
    CHECK(wire::find_header(refused->headers, "Postpaddle-Outcome") == "not-run");
    CHECK_FALSE(wire::find_header(refused->headers, "Retry-After").empty());
    const std::string prompt = make_prompt("log-down");
    const auto answer =
        stand_in::http_exchange(cluster.hosts[1].callers_address, completion_request(prompt, 8));
    REQUIRE(answer);
    CHECK(streamed_text(answer->body) == stand_in::expected_completion(prompt, 8));
    // Longer than a host stays ready that reaches neither the log nor a peer.
    std::this_thread::sleep_for(std::chrono::milliseconds(5'500));
    for (const auto& host : cluster.hosts)
        CHECK(stand_in::http_exchange(host.operators_address, wire::get_request("/readyz"))->status == 200);
    // A host that starts now can only get the settings from its peers.
    cluster.start_host(2);
    cluster.wait_until_ready();
    CHECK(revision_of(cluster, cluster.hosts[2]) == revision_of(cluster, cluster.hosts[0]));
    const auto fresh =
        stand_in::http_exchange(cluster.hosts[2].callers_address, completion_request(prompt, 8));
    CHECK(streamed_text(fresh->body) == stand_in::expected_completion(prompt, 8));
    cluster.set_link_faults("log", {{"cut", false}});
    CHECK(eventually([&] {
        return stand_in::http_exchange(cluster.hosts[0].callers_address, trade_request(key))->status == 200;
    }));
    CHECK(cluster.counters("s1").at("runs").at(key) == 1);
}

TEST_CASE("a non-repeatable request whose claim's append response or record is lost runs at most once") {
    stand_in::cluster cluster(small_cluster_options("lost-claim", 3));
    REQUIRE(cluster.publish(cluster_document()));
    cluster.wait_until_ready();
    for (const char* const fault : {"lose_answers", "drop_appends"}) {
        const std::string key = generate_uuid7();
        stand_in::post_json(cluster.log_address, "/control", {{fault, 1}});
        std::vector<std::thread> threads;
        std::atomic<int> complete_count{0};
        for (const auto& host : cluster.hosts)
            threads.emplace_back([&, address = host.callers_address] {
                const auto response = stand_in::http_exchange(address, trade_request(key));
                complete_count += response && response->status == 200 ? 1 : 0;
            });
        for (std::thread& thread : threads)
            thread.join();
        const json runs = cluster.counters("s1").at("runs");
        CHECK(runs.value(key, 0) <= 1);
        CHECK(complete_count == runs.value(key, 0));
        stand_in::post_json(cluster.log_address, "/control", {{fault, 0}});
    }
}

TEST_CASE("a non-repeatable request does not run again after its host is killed") {
    stand_in::cluster cluster(small_cluster_options("killed", 3));
    REQUIRE(cluster.publish(cluster_document()));
    cluster.wait_until_ready();
    cluster.set_upstream_faults("s1", {{"delay_ms", 1'000}});
    const std::string key = generate_uuid7();
    client_connection first(cluster.hosts[0].callers_address, trade_request(key));
    REQUIRE(eventually([&] { return cluster.counters("s1").at("runs").value(key, 0) == 1; }));
    cluster.hosts[0].process.reset();
    for (int attempt = 0; attempt < 4; ++attempt)
        for (int host = 1; host < 3; ++host) {
            const auto again = stand_in::http_exchange(
                cluster.hosts[static_cast<std::size_t>(host)].callers_address, trade_request(key));
            REQUIRE(again);
            CHECK(again->status != 200);
        }
    CHECK(cluster.counters("s1").at("runs").at(key) == 1);
}

TEST_CASE("other hosts release the engine memory of a killed host's requests") {
    stand_in::cluster cluster(small_cluster_options("orphans", 3));
    REQUIRE(cluster.publish(cluster_document()));
    cluster.wait_until_ready();
    // An engine notices a closed connection only when it writes, which a stalled stream never does.
    for (const char* const engine : {"d1", "d2"})
        cluster.set_upstream_faults(engine, {{"stall_tokens", 1}});
    cluster.set_link_faults("d1", {{"freeze", false}});
    client_connection connection(cluster.hosts[0].callers_address,
                                 completion_request(make_prompt("orphan"), 500));
    REQUIRE(eventually([&] { return cluster.held_request_count() > 0; }));
    for (const char* const engine : {"d1", "d2", "p1", "p2"})
        cluster.set_link_faults(engine, {{"freeze", true}});
    cluster.hosts[0].process.reset();
    for (const char* const engine : {"d1", "d2", "p1", "p2"})
        cluster.set_link_faults(engine, {{"freeze", false}});
    CHECK(eventually([&] { return cluster.held_request_count() == 0; }));
    CHECK(eventually([&] { return member_state(cluster, cluster.hosts[1], "host-1") == "failed"; }));
}

TEST_CASE("a suspended host is considered failed and is alive again for all hosts after it resumes") {
    stand_in::cluster cluster(small_cluster_options("paused", 3));
    REQUIRE(cluster.publish(cluster_document()));
    cluster.wait_until_ready();
    REQUIRE(eventually([&] { return member_state(cluster, cluster.hosts[1], "host-1") == "alive"; }));
    cluster.hosts[0].process->send_signal(SIGSTOP);
    CHECK(eventually([&] { return member_state(cluster, cluster.hosts[1], "host-1") == "failed"; }));
    const auto change = stand_in::http_exchange(cluster.hosts[1].callers_address,
                                                completion_request(make_prompt("while"), 4));
    CHECK(change->status == 200);
    cluster.hosts[0].process->send_signal(SIGCONT);
    CHECK(eventually([&] { return member_state(cluster, cluster.hosts[1], "host-1") == "alive"; }));
    CHECK(eventually([&] { return member_state(cluster, cluster.hosts[2], "host-1") == "alive"; }));
    const std::string prompt = make_prompt("woken");
    const auto answer =
        stand_in::http_exchange(cluster.hosts[0].callers_address, completion_request(prompt, 6));
    CHECK(streamed_text(answer->body) == stand_in::expected_completion(prompt, 6));
}

TEST_CASE("a planned stop first reports not ready and completes running requests") {
    stand_in::cluster cluster(small_cluster_options("stop", 2));
    REQUIRE(cluster.publish(cluster_document()));
    cluster.wait_until_ready();
    const std::string prompt = make_prompt("stopping");
    client_connection connection(cluster.hosts[0].callers_address, completion_request(prompt, 400));
    connection.read_at_least(400);
    cluster.hosts[0].process->send_signal(SIGTERM);
    CHECK(eventually([&] {
        const auto response =
            stand_in::http_exchange(cluster.hosts[0].operators_address, wire::get_request("/readyz"));
        return response && response->status == 503;
    }));
    const std::string answer = connection.read_all();
    CHECK_THAT(answer, Catch::Contains("[DONE]"));
    CHECK(cluster.hosts[0].process->wait() == 0);
    CHECK(eventually([&] { return member_state(cluster, cluster.hosts[1], "host-1") == "left"; }));
    CHECK(cluster.held_request_count() == 0);
}

TEST_CASE("replacing all hosts one by one under load breaks no request and keeps the settings") {
    stand_in::cluster cluster(small_cluster_options("replace", 3));
    REQUIRE(cluster.publish(cluster_document()));
    cluster.wait_until_ready();
    const std::uint64_t revision = revision_of(cluster, cluster.hosts[0]);
    std::atomic<bool> should_stop{false};
    std::atomic<int> complete_count{0};
    std::atomic<int> incomplete_count{0};
    std::mutex addresses_lock;
    std::vector<std::string> addresses;
    for (const auto& host : cluster.hosts)
        addresses.push_back(host.callers_address);
    // Like a load balancer, the callers send only to hosts that are in rotation.
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int caller = 0; caller < 4; ++caller)
        threads.emplace_back([&, caller] {
            for (int number = 0; !should_stop; ++number) {
                std::string address;
                {
                    const std::lock_guard lock(addresses_lock);
                    address = addresses[static_cast<std::size_t>(number) % addresses.size()];
                }
                const std::string prompt =
                    make_prompt("r" + std::to_string(caller) + "-" + std::to_string(number), 100);
                const auto response = stand_in::http_exchange(address, completion_request(prompt, 20));
                const bool is_complete =
                    response && streamed_text(response->body) == stand_in::expected_completion(prompt, 20);
                ++(is_complete ? complete_count : incomplete_count);
            }
        });
    for (int number = 0; number < 3; ++number) {
        const auto index = static_cast<std::size_t>(number);
        {
            const std::lock_guard lock(addresses_lock);
            std::erase(addresses, cluster.hosts[index].callers_address);
        }
        cluster.hosts[index].process->send_signal(SIGTERM);
        CHECK(cluster.hosts[index].process->wait() == 0);
        cluster.start_host(number);
        cluster.wait_until_ready();
        const std::lock_guard lock(addresses_lock);
        addresses.push_back(cluster.hosts[index].callers_address);
    }
    should_stop = true;
    for (std::thread& thread : threads)
        thread.join();
    CHECK(complete_count > 0);
    CHECK(incomplete_count == 0);
    for (const auto& host : cluster.hosts)
        CHECK(revision_of(cluster, host) == revision);
    CHECK(eventually([&] { return cluster.held_request_count() == 0; }));
}

TEST_CASE("settings are restored from a snapshot after the log has dropped their records") {
    stand_in::cluster cluster(small_cluster_options("retention", 2));
    REQUIRE(cluster.publish(cluster_document()));
    cluster.wait_until_ready();
    REQUIRE(eventually([&] {
        const json streams = stand_in::get_json(cluster.log_address, "/counters").at("streams");
        return streams.contains("settings-snapshots") && streams.at("settings-snapshots").at("next") > 1;
    }));
    const std::uint64_t revision = revision_of(cluster, cluster.hosts[0]);
    // The log keeps one record of each stream; that of the settings stream is not a settings record.
    stand_in::post_json(cluster.log_address, "/streams/settings/append",
                        {{"payload", "{\"type\":\"other\"}"}});
    stand_in::post_json(cluster.log_address, "/control", {{"most_records", 1}});
    cluster.hosts[1].process.reset();
    cluster.start_host(1);
    cluster.wait_until_ready();
    CHECK(revision_of(cluster, cluster.hosts[1]) == revision);
}

TEST_CASE("the pool controller moves an engine to the overloaded pool by a fenced order") {
    stand_in::cluster cluster(small_cluster_options("balance", 2));
    std::string document = cluster_document();
    const std::string pools = "decode_pool: [d1, d2], kept_seconds: 3";
    document.replace(document.find(pools), pools.size(),
                     "decode_pool: [d1], kept_seconds: 3, balance: {enabled: true, high: 0.5, low: 0.4, "
                     "sustained_seconds: 1, cool_down_seconds: 600}");
    REQUIRE(cluster.publish(document));
    cluster.wait_until_ready();
    // Long streams use more than half of d1's decode slots while the prefill engines are idle.
    std::vector<std::unique_ptr<client_connection>> connections;
    connections.reserve(24);
    for (int index = 0; index < 24; ++index)
        connections.push_back(std::make_unique<client_connection>(
            cluster.hosts[static_cast<std::size_t>(index) % 2].callers_address,
            completion_request(make_prompt("fill" + std::to_string(index), 50), 20'000)));
    CHECK(eventually([&] { return cluster.counters("p2").at("role") == "decode"; }));
    const auto revision = revision_of(cluster, cluster.hosts[0]);
    CHECK(eventually([&] { return revision_of(cluster, cluster.hosts[0]) >= revision + 1; }));
    // Engines that check fencing tokens refuse an order of an older lease.
    const json refused = stand_in::post_json(cluster.upstreams.at("p2").address, "/orders",
                                             {{"role", "prefill"}, {"token", 0}});
    CHECK(refused.contains("error"));
    CHECK(cluster.counters("p2").at("role") == "decode");
    connections.clear();
    CHECK(eventually([&] { return cluster.held_request_count() == 0; }));
}
