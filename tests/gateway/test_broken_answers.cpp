// SPDX-License-Identifier: BSD-2-Clause
// Servers that send what is no answer, or only a part of one, as callers see it: of plain servers and of
// streams, directly and over another host, on the platform and on the own interface. Guards against a part,
// or what stands within a body, reaching a caller as the answer, and against a request that ran perhaps being
// sent again.
#include <support/broken_answers.h>
#include <support/gateway_cluster.h>
#include <support/test_cluster.h>

#include <base/hashing.h>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace postpaddle;
using test::request_size;
using test::routed_request;

namespace {

constexpr int first_failure_status = 500;
/// Promises that the request has not run.
constexpr int not_run_status = 503;
/// Events of a whole stream, and those before a broken one ends.
constexpr int all_events = 40;
constexpr int first_events = 9;

/// An answer to a request of one kind of route. Each has a service and a server of its own, as hosts leave a
/// server that failed for a while.
struct exchange_plan {
    test::answer_kind answer;
    std::string route_kind;
    std::string name{}; ///< Of service, server and route.

    [[nodiscard]] std::string describe() const {
        return this->route_kind +
               (this->answer.request == request_size::large ? " during an upload: " : ": ") +
               this->answer.name;
    }
};

std::vector<exchange_plan> plan_exchanges(const std::vector<test::answer_kind>& kinds,
                                          const std::vector<std::string>& route_kinds) {
    std::vector<exchange_plan> plans;
    for (const test::answer_kind& kind : kinds)
        for (const std::string& route_kind : route_kinds)
            plans.push_back({kind, route_kind, "s" + std::to_string(plans.size())});
    return plans;
}

/// Hosts on the platform, before a server that answers by a script.
class scripted_cluster {
public:
    /// Of two hosts, the first one can't reach the server, and has the other one serve its requests.
    scripted_cluster(const std::string& name, const std::vector<exchange_plan>& plans, int hosts = 1)
        : cluster({.name = name, .servers = {}, .hosts = hosts}) {
        constexpr const char* closed_port = "127.0.0.1:1";
        if (hosts > 1)
            (void)this->cluster.store(
                {{"links", {{this->cluster.host_ip(1), {{this->server.address(), closed_port}}}}}});
        std::vector<test::service_plan> services;
        for (const exchange_plan& plan : plans) {
            services.push_back({plan.name, plan.route_kind});
            this->server.set_answer(plan.name, plan.answer.answer);
            this->cluster.register_address(plan.name, plan.name, this->server.address(),
                                           plan.route_kind == "streaming" ? "decode" : "");
        }
        this->cluster.publish_services(2, services, {{"maxBodyBytes", 2 * test::unsendable_bytes()}});
        for (int host = 1; host <= hosts; ++host)
            REQUIRE(test::eventually([&] {
                return settings_version_at(this->cluster, host) == 2 &&
                       this->cluster.state_of(host).at("instances").size() == plans.size();
            }));
    }

    [[nodiscard]] wire::expected<wire::http_response> exchange(const exchange_plan& plan) const {
        wire::http_request request = routed_request("/" + plan.name + "/", id_of(plan));
        request.body = test::request_body(plan.answer.request);
        return stand_in::http_exchange(this->cluster.callers_address(), request);
    }
    /// The host's word on the server.
    [[nodiscard]] nlohmann::json state_of(const exchange_plan& plan, int host) const {
        return this->cluster.state_of(host).at("instances").at(plan.name);
    }
    [[nodiscard]] int arrivals(const exchange_plan& plan) { return this->server.arrivals(id_of(plan)); }

    test::scripted_server server; ///< Outlives the hosts.
    test::gateway_cluster cluster;

private:
    static std::string id_of(const exchange_plan& plan) { return "request-to-" + plan.name; }
};

/// Checks that the caller is told of a failure that may have run, in words of this system alone.
void check_failure(const wire::expected<wire::http_response>& answer) {
    REQUIRE(answer);
    INFO(answer->status << ": " << answer->body.substr(0, 100));
    CHECK(answer->status >= first_failure_status);
    CHECK(wire::find_header(answer->headers, "Postpaddle-Outcome") == "unknown");
    CHECK(wire::find_header(answer->headers, "X-Response-Seal").empty());
    CHECK(answer->body.find(test::hidden_body) == std::string::npos);
    CHECK(answer->body.find("sound") == std::string::npos);
}

void check_whole(const wire::expected<wire::http_response>& answer) {
    REQUIRE(answer);
    INFO(answer->status << ": " << answer->body.substr(0, 100));
    CHECK(answer->status == 200);
    CHECK(answer->body == test::sound_body());
}

/// Sends a request for each broken answer to the first of that many hosts; the last one serves it.
void check_broken_answers(const std::string& name, const std::vector<std::string>& route_kinds, int hosts) {
    const auto plans = plan_exchanges(test::broken_answers(), route_kinds);
    scripted_cluster scripted(name, plans, hosts);
    for (const exchange_plan& plan : plans) {
        const auto answer = scripted.exchange(plan);
        INFO(plan.describe());
        check_failure(answer);
        CHECK(answer->status != not_run_status);
        CHECK(scripted.arrivals(plan) == 1);
        CHECK(scripted.state_of(plan, hosts).at("failures_in_row") == 1);
    }
}

std::string events(int first, int last) {
    std::string text;
    for (int event = first; event <= last; ++event)
        text += "id: " + std::to_string(event) + "\ndata: token-" + std::to_string(event) + "\n\n";
    return text;
}

/// A stream without a length of that many events.
test::answer_kind stream_of(int count, test::connection_ending ending, request_size request) {
    const std::string head = test::sealed_head("200 OK", "Content-Type: text/event-stream\r\n");
    return {.name = std::to_string(count) + " events, then " + to_text(ending),
            .answer = {.parts = {head + events(1, 1), events(2, count)}, .ending = ending},
            .request = request};
}

} // namespace

TEST_CASE("callers get no broken answer, and what may have run is not sent again") {
    check_broken_answers("broken-answers", {"non_idempotent", "idempotent", "streaming"}, 1);
}

TEST_CASE("callers of a host that has another one serve their requests get no broken answer") {
    check_broken_answers("broken-forwarded", {"non_idempotent", "streaming"}, 2);
}

TEST_CASE("callers get whole answers, however they end and whatever of the request is unsent") {
    const int hosts = GENERATE(1, 2);
    const auto plans = plan_exchanges(test::sound_answers(), {"non_idempotent", "idempotent"});
    scripted_cluster scripted("sound-answers-" + std::to_string(hosts), plans, hosts);
    for (const exchange_plan& plan : plans) {
        const auto answer = scripted.exchange(plan);
        INFO(plan.describe());
        check_whole(answer);
        CHECK(scripted.arrivals(plan) == 1);
    }
}

TEST_CASE("a stream whose server resets the connection between two events does not end as if it were whole") {
    using test::connection_ending;
    const int hosts = GENERATE(1, 2);
    std::vector<test::answer_kind> broken = {
        stream_of(first_events, connection_ending::none, request_size::large)};
    std::vector<test::answer_kind> sound;
    for (const auto request : {request_size::small, request_size::large}) {
        broken.push_back(stream_of(first_events, connection_ending::reset, request));
        sound.push_back(stream_of(all_events, connection_ending::close, request));
        sound.push_back(stream_of(all_events, connection_ending::close_after_upload, request));
    }
    auto kinds = broken;
    kinds.insert(kinds.end(), sound.begin(), sound.end());
    const auto plans = plan_exchanges(kinds, {"streaming"});
    scripted_cluster scripted("broken-streams-" + std::to_string(hosts), plans, hosts);
    for (const exchange_plan& plan : plans) {
        const auto answer = scripted.exchange(plan);
        INFO(plan.describe());
        const bool is_whole = plan.answer.answer.parts.back() == events(2, all_events);
        CHECK(answer.has_value() == is_whole);
        if (answer && is_whole)
            CHECK(answer->body == events(1, all_events));
        CHECK(scripted.arrivals(plan) == 1);
    }
}

TEST_CASE("callers of plain upstreams of the own interface get no broken answer, and whole ones") {
    auto plans = plan_exchanges(test::broken_answers(), {"repeatable", "not repeatable"});
    const std::size_t broken = plans.size();
    for (exchange_plan& plan : plan_exchanges(test::sound_answers(), {"repeatable", "not repeatable"})) {
        plan.name = "s" + std::to_string(plans.size());
        plans.push_back(std::move(plan));
    }
    test::scripted_server server;
    nlohmann::json upstreams = nlohmann::json::object();
    nlohmann::json routes = nlohmann::json::object();
    for (const exchange_plan& plan : plans) {
        server.set_answer(plan.name, plan.answer.answer);
        upstreams[plan.name] = {{"address", server.address()}, {"availability_zone", "a"}, {"kind", "plain"}};
        routes[plan.name] = {{"prefix", "/" + plan.name},
                             {"upstreams", {plan.name}},
                             {"repeatable", plan.route_kind == "repeatable"},
                             {"timeout_ms", 4'000}};
    }
    nlohmann::json document = {
        {"upstreams", upstreams},
        {"root",
         {{"settings", {{"routes", routes}, {"limits", {{"requests_per_second", 100'000}}}}},
          {"organisations", {{"left", {{"keys", {base::sha256_hex(test::left_key)}}}}}}}}};
    const std::string body_limit = std::to_string(2 * test::unsendable_bytes());
    stand_in::cluster_options options = test::small_cluster_options("broken-answers");
    options.upstreams.clear();
    options.has_proxies = false;
    options.host_settings = "bounds: {body_bytes: " + body_limit + "}\n";
    stand_in::cluster cluster(std::move(options));
    REQUIRE(cluster.publish(document.dump()));
    cluster.wait_until_ready();
    for (std::size_t number = 0; number < plans.size(); ++number) {
        const exchange_plan& plan = plans[number];
        const wire::http_request request = {"POST",
                                            "/" + plan.name,
                                            {{"Host", "host"},
                                             {"Authorization", std::string("Bearer ") + test::left_key},
                                             {"X-Attempt-Id", plan.name},
                                             {"X-Expect-Instance", plan.name}},
                                            test::request_body(plan.answer.request)};
        const auto answer = stand_in::http_exchange(cluster.hosts[0].callers_address, request);
        INFO(plan.describe());
        if (number < broken)
            check_failure(answer);
        else
            check_whole(answer);
        CHECK(server.arrivals(plan.name) == 1);
    }
}
