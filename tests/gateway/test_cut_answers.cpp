// SPDX-License-Identifier: BSD-2-Clause
// Upstreams whose answers are cut within their head or body, on every way on which a host reads one. Guards
// against a part of an answer being passed on as a whole one.
#include <support/gateway_cluster.h>
#include <support/test_cluster.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace postpaddle;
using test::routed_request;

namespace {

constexpr int events = 10;

test::gateway_cluster make_cluster(const std::string& name, int hosts = 1) {
    test::gateway_cluster_options options{.name = name, .servers = {}, .hosts = hosts, .linked_hosts = hosts};
    for (const char* id : {"one", "two"})
        options.servers.push_back({.id = id, .names_requests = true});
    for (const char* id : {"p1", "p2", "d1", "d2"})
        options.servers.push_back({.id = id,
                                   .service = "engines",
                                   .stage = *id == 'p' ? "prefill" : "decode",
                                   .names_requests = true});
    return test::gateway_cluster(std::move(options));
}

std::string complete_stream(const std::string& id) {
    std::string text;
    for (int event = 1; event <= events; ++event)
        text +=
            "id: " + std::to_string(event) + "\ndata: token-" + std::to_string(event) + " to " + id + "\n\n";
    return text;
}

/// Whether a success is the whole answer to just this request.
bool is_whole(const std::string& path, const std::string& id, const std::string& body) {
    if (path == "/stream/" || path == "/resume/")
        return body == complete_stream(id);
    return body == "answer of one to " + id || body == "answer of two to " + id;
}

struct outcomes {
    int whole = 0;
    int others = 0; ///< Failures, and answers that break off.
};

/// Sends a request of each kind; a success must be the whole answer.
void send_to_all_paths(const test::gateway_cluster& cluster, int host, const std::string& name,
                       outcomes& seen) {
    for (const std::string path : {"/again/", "/once/", "/resume/", "/stream/"}) {
        const std::string id = name + path.substr(1, 3);
        const auto answer = stand_in::http_exchange(cluster.callers_address(host), routed_request(path, id));
        INFO(path << " " << name << ": " << (answer ? answer->body : answer.error().detail));
        const bool is_success = answer && answer->status == 200;
        REQUIRE((!is_success || is_whole(path, id, answer->body)));
        ++(is_success ? seen.whole : seen.others);
    }
}

} // namespace

TEST_CASE(
    "answers of plain servers, of prefill engines and of streams that are cut are never passed on as whole") {
    const auto servers = GENERATE(std::vector<std::string>{"one", "two"},
                                  std::vector<std::string>{"p1", "p2"}, std::vector<std::string>{"d1", "d2"},
                                  std::vector<std::string>{"one", "two", "p1", "p2", "d1", "d2"});
    auto cluster = make_cluster("cut-" + servers.front() + std::to_string(servers.size()));
    outcomes seen;
    for (const int bytes : {0, 1, 9, 12, 17, 18, 31, 47, 60, 90, 120, 150, 180, 210, 240, 300, 400}) {
        cluster.cut_answers(1, bytes, servers);
        for (int round = 0; round < 2; ++round)
            send_to_all_paths(cluster, 1, std::to_string(bytes) + "-" + std::to_string(round) + "-", seen);
    }
    CHECK(cluster.metric(1, "sends_total{result=\"broken\"}") > 0);
    cluster.cut_answers(1, -1, servers);
    REQUIRE(test::eventually([&cluster] {
        return status_at(cluster, 1, "/again/") == 200 && status_at(cluster, 1, "/resume/") == 200;
    }));
}

TEST_CASE("answers that are cut on their way to the host that a request was forwarded to are not passed on "
          "as whole") {
    auto cluster = make_cluster("cut-forwarded", 2);
    for (const int host : {1, 2})
        REQUIRE(test::eventually([&] { return cluster.state_of(host).at("peers").size() == 1; }));
    cluster.set_links(1, test::link_fault::refuse_new);
    REQUIRE(test::eventually([&cluster] {
        return status_at(cluster, 1, "/again/") == 200 && status_at(cluster, 1, "/resume/") == 200;
    }));
    outcomes seen;
    for (const int bytes : {0, 12, 18, 60, 120, 180, 240, 400}) {
        cluster.cut_answers(2, bytes, {"one", "p1", "d1"});
        send_to_all_paths(cluster, 1, std::to_string(bytes) + "-", seen);
    }
    CHECK(seen.whole > 0);
    CHECK(cluster.metric(2, "sends_total{result=\"broken\"}") > 0);
}
