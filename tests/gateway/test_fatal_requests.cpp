// SPDX-License-Identifier: BSD-2-Clause
// Requests under which every upstream ends that runs them.
//
// Seen: two requests that came again and again, at all hosts, ended some thirty engines each within fourteen
// seconds, with all other streams there. How: a try was sent to an engine, which ended under it, and once
// more to another; then the next try began anew, at that host as at the others. Cause: nothing that a host
// knows of a request outlived its try, and no host told another under which request an upstream had ended.
// What proved it: the hosts' lines of each end show one of the two among the requests in flight there and no
// other request in more than two of them, and tries after the third end were sent like the first, also by
// hosts that had seen two ends.
#include <support/gateway_cluster.h>
#include <support/test_cluster.h>

#include <catch2/catch.hpp>

#include <thread>

using namespace postpaddle;
using namespace std::chrono_literals;
using test::routed_request;

namespace {

/// Upstreams that a request may end before it must be stopped everywhere.
constexpr int most_ended = 3;
/// Sends of it that are allowed after word of that must have reached all hosts.
constexpr int most_sent_after = 3;
/// Time within which word must reach all hosts that reach each other or the store.
constexpr auto contact_time = 3s;
constexpr const char* fatal_body = "ends whoever runs it";

std::vector<test::server_plan> plan_servers(const std::string& prefix, int count, const std::string& service,
                                            const std::string& stage) {
    std::vector<test::server_plan> plans;
    for (int number = 1; number <= count; ++number)
        plans.push_back({.id = prefix + std::to_string(number), .service = service, .stage = stage});
    return plans;
}

/// A cluster all of whose servers end under the fatal request.
class fatal_cluster {
public:
    fatal_cluster(const std::string& name, int hosts, const std::vector<test::server_plan>& plans)
        : cluster({.name = name, .servers = plans, .hosts = hosts}), hosts(hosts) {
        for (const test::server_plan& plan : plans) {
            this->ids.push_back(plan.id);
            (void)this->cluster.server(plan.id, {{"fatal_body", fatal_body}});
        }
    }

    /// Sends a try of the fatal request, each with an id of its own; gives the answer's status.
    int try_at(int host, const std::string& path) {
        wire::http_request request = routed_request(path, "try-" + std::to_string(++this->tries));
        request.body = fatal_body;
        const auto answer = stand_in::http_exchange(this->cluster.callers_address(host), request);
        return answer ? answer->status : 0;
    }

    /// Tries at all hosts in turn.
    void try_everywhere(int count, const std::string& path) {
        for (int number = 0; number < count; ++number)
            (void)this->try_at(1 + number % this->hosts, path);
    }

    [[nodiscard]] int ended() {
        int count = 0;
        for (const std::string& id : this->ids)
            count += this->cluster.is_serving(id) ? 0 : 1;
        return count;
    }

    /// Sends of the fatal request that reached a server, prompts that were only read among them.
    [[nodiscard]] int sends() {
        int count = 0;
        for (const std::string& id : this->ids) {
            const nlohmann::json counters = this->cluster.server(id);
            if (counters.is_null()) {
                ++count;
                continue;
            }
            for (const nlohmann::json& arrival : counters.at("arrivals"))
                count += arrival.at("body") == fatal_body ? 1 : 0;
        }
        return count;
    }

    test::gateway_cluster cluster;

private:
    int hosts;
    std::vector<std::string> ids;
    int tries = 0;
};

} // namespace

TEST_CASE("a request that ends each upstream that runs it is stopped at all hosts") {
    fatal_cluster world("fatal-plain", 3, plan_servers("plain-", 12, "plain", ""));
    while (world.ended() < most_ended)
        (void)world.try_at(1, "/again/");
    std::this_thread::sleep_for(contact_time);
    const int before = world.sends();
    world.try_everywhere(6, "/again/");
    CHECK(world.sends() - before <= most_sent_after);
    // The others are served by those that are left.
    const auto other =
        stand_in::http_exchange(world.cluster.callers_address(2), routed_request("/again/", "other"));
    REQUIRE(other);
    CHECK(other->status == 200);
}

TEST_CASE("a request that ends each decode engine that runs it has no prompt read any more") {
    auto plans = plan_servers("decode-", 12, "engines", "decode");
    for (const test::server_plan& plan : plan_servers("prefill-", 2, "engines", "prefill"))
        plans.push_back(plan);
    fatal_cluster world("fatal-stream", 3, plans);
    while (world.ended() < most_ended)
        (void)world.try_at(1, "/resume/");
    std::this_thread::sleep_for(contact_time);
    const int before = world.sends();
    world.try_everywhere(6, "/resume/");
    CHECK(world.sends() - before <= most_sent_after);
    const auto other =
        stand_in::http_exchange(world.cluster.callers_address(2), routed_request("/resume/", "other"));
    REQUIRE(other);
    CHECK(other->status == 200);
}
