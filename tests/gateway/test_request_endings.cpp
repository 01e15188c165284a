// SPDX-License-Identifier: BSD-2-Clause
// How requests that were read whole end, and what is recorded of it.
#include <support/gateway_cluster.h>
#include <support/manual_clock.h>
#include <support/process_state.h>
#include <support/test_cluster.h>

#include <gateway/endings/open_request.h>
#include <gateway/endings/request_drain.h>
#include <gateway/endings/request_record.h>
#include <gateway/forwarding/forwarding_sender.h>
#include <gateway/operations/decision_log.h>
#include <gateway/operations/gateway_metrics.h>
#include <gateway/request_handler.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <thread>

using namespace postpaddle;
using test::routed_request;
using tcp = wire::asio::ip::tcp;

namespace {

/// What a request on a host needs to be recorded, and its caller's connection.
struct recording_host {
    recording_host()
        : acceptor(this->context, {wire::asio::ip::address_v4::loopback(), 0}), caller(this->context) {
        this->process.name = {"host-1"};
        this->state.clock = &this->clock;
        this->state.process = &this->process;
        this->state.metrics = &this->metrics;
        this->state.log = &this->log;
        this->caller.connect(this->acceptor.local_endpoint());
        this->connection =
            std::make_unique<wire::caller_connection>(this->acceptor.accept(), wire::fixed_bounds({}));
    }

    [[nodiscard]] std::uint64_t counter(const std::string& name) const {
        const auto found = this->metrics.counters_with(name);
        return found.contains(name) ? found.at(name) : 0;
    }

    test::manual_clock clock;
    settings::gateway_settings process;
    gateway::decision_log log{this->clock, {.host = "host-1", .level = "error"}};
    gateway::gateway_metrics metrics;
    gateway::gateway_state state;
    wire::asio::io_context context;
    tcp::acceptor acceptor;
    tcp::socket caller;
    std::unique_ptr<wire::caller_connection> connection;
};

bool has_counted(const test::gateway_cluster& cluster, const std::string& name) {
    return test::eventually([&] { return cluster.metric(1, name) == 1; });
}

} // namespace

// Guards against requests that vanish: no line in the log and no count tells that there was one.
TEST_CASE("a request that is left without an ending is recorded as unanswered") {
    recording_host host;
    {
        gateway::open_request open(host.state, *host.connection);
        CHECK(host.state.requests_in_progress == 1);
        CHECK(host.state.open_requests.size() == 1);
    }
    CHECK(host.state.requests_in_progress == 0);
    CHECK(host.state.open_requests.empty());
    CHECK(host.counter("requests_total{ending=\"unanswered\"}") == 1);
    CHECK(host.counter("requests_without_answer_total{cause=\"unanswered\"}") == 1);
}

// Guards against a stop that only counts what it cut, and against two records of one request.
TEST_CASE("a request that is cut by the host's stop is recorded once, with its phase") {
    recording_host host;
    {
        gateway::open_request open(host.state, *host.connection);
        open.request().routed.id = "id-1";
        open.record_cut();
    }
    CHECK(host.counter("requests_total{ending=\"cut\"}") == 1);
    CHECK(host.counter("requests_total{ending=\"unanswered\"}") == 0);
    CHECK(host.counter("requests_without_answer_total{cause=\"host_stopped\"}") == 1);
    REQUIRE(host.state.completed.size() == 1);
    const nlohmann::json& trace = host.state.completed.front().trace;
    CHECK(trace.at("phase") == "arriving");
    CHECK(trace.at("answer") == "none");
    CHECK(trace.at("without_answer") == "host_stopped");
}

// Guards against requests without an answer that can't be told apart by cause.
TEST_CASE("a request whose caller leaves, and one that has only partly arrived, are counted by cause") {
    test::gateway_cluster cluster({.name = "left", .servers = {{.id = "one"}}});
    (void)cluster.server("one", {{"hang", 1}});
    test::client_connection client(cluster.callers_address(), routed_request("/once/", "id-1"));
    REQUIRE(test::eventually([&] { return cluster.runs() == 1; }));
    CHECK(cluster.state_of(1).at("open_requests").at(0).at("phase") == "at_upstream");
    client.drop();
    CHECK(has_counted(cluster, "requests_without_answer_total{cause=\"by_caller\"}"));
    CHECK(has_counted(cluster, "caller_connections_ended_total{cause=\"by_caller\"}"));
    test::client_connection partial(cluster.callers_address(), std::string("POST /once/ HTTP/1.1\r\nHost:"));
    partial.drop();
    CHECK(has_counted(cluster, "partial_requests_ended_total{cause=\"by_caller\"}"));
    const auto lost = cluster.state_of(1).at("requests_without_answer");
    CHECK(lost.size() == 1);
}

// Guards against callers whose connection a stopping host closes without a word while their request waits.
TEST_CASE("a request that waits when its host is stopped is refused and told when to come back") {
    test::gateway_cluster cluster(
        {.name = "stop-waiting", .servers = {{.id = "one"}}, .hosts = 1, .grace_ms = 1'200});
    // Each further request waits for over two seconds, longer than the host has.
    (void)cluster.server("one", {{"limit", "0.4"}});
    REQUIRE(stand_in::http_exchange(cluster.callers_address(), routed_request("/again/", "first")));
    std::vector<std::unique_ptr<test::client_connection>> clients;
    for (const auto* id : {"id-1", "id-2", "id-3"})
        clients.push_back(std::make_unique<test::client_connection>(cluster.callers_address(),
                                                                    routed_request("/again/", id)));
    const auto is_waiting = [&] {
        const auto open = cluster.state_of(1).at("open_requests");
        return std::ranges::any_of(open, [](const auto& row) { return row.at("phase") == "waiting"; });
    };
    REQUIRE(test::eventually(is_waiting));
    cluster.host(1).send_signal(SIGTERM);
    for (const auto& client : clients) {
        const std::string answer = client->read_all();
        INFO(answer);
        const bool is_refused = answer.starts_with("HTTP/1.1 503") &&
                                answer.find("Retry-After: ") != std::string::npos &&
                                answer.find("Postpaddle-Outcome: not-run") != std::string::npos;
        CHECK((is_refused || answer.starts_with("HTTP/1.1 200")));
    }
    CHECK(cluster.host(1).wait() == 0);
}

// Guards against polling on for an engine, while the host ends, for as long as a prompt is kept for it.
TEST_CASE("a request whose prompt waits for a decode engine when its host is stopped is refused") {
    test::gateway_cluster cluster({.name = "stop-prompt",
                                   .servers = {{.id = "p1", .service = "engines", .stage = "prefill"},
                                               {.id = "d1", .service = "engines", .stage = "decode"}},
                                   .hosts = 1,
                                   .grace_ms = 1'200});
    // The engine is full and asks to be left alone for longer than the prompt is kept, which is 5 s.
    (void)cluster.server("d1", {{"refuse", 100}, {"rest", "20"}, {"load", "16,4,16"}});
    test::client_connection client(cluster.callers_address(), routed_request("/resume/", "id-1"));
    REQUIRE(test::eventually([&] { return cluster.server("d1").at("arrivals").size() == 1; }));
    cluster.host(1).send_signal(SIGTERM);
    const std::string answer = client.read_all();
    INFO(answer);
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("Retry-After: ") != std::string::npos);
    CHECK(answer.find("Postpaddle-Outcome: not-run") != std::string::npos);
    CHECK(cluster.host(1).wait() == 0);
    CHECK(cluster.runs() == 0);
}

// Guards against loops that wait for something on a request's behalf and do not notice their host's stop.
TEST_CASE("the pause of a request that polls ends when its host stops or its caller leaves") {
    recording_host host;
    host.state.context = &host.context;
    gateway::open_request open(host.state, *host.connection);
    const gateway::gateway_request& request = open.request();
    bool has_paused = false;
    wire::spawn_coroutine(host.context, [&](wire::yield_context yield) {
        gateway::pause_request(request, std::chrono::hours(1), yield);
        has_paused = true;
    });
    host.context.poll();
    REQUIRE(request.cancellation->wait_timer != nullptr);
    CHECK_FALSE(gateway::is_wait_over(request));
    SECTION("stop") { gateway::end_unanswered(host.state); }
    SECTION("caller") { request.cancellation->did_lose_caller(); }
    host.context.restart();
    host.context.poll();
    CHECK(has_paused);
    CHECK(request.cancellation->wait_timer == nullptr);
    CHECK(gateway::is_wait_over(request));
    open.decline();
}

// Guards against waiting beyond the deadline, and against taking one that is not known yet for one that has
// passed.
TEST_CASE("a request's wait is over at its deadline") {
    recording_host host;
    host.clock.advance(std::chrono::seconds(1));
    gateway::open_request open(host.state, *host.connection);
    gateway::gateway_request& request = open.request();
    CHECK_FALSE(gateway::is_wait_over(request));
    request.deadline = host.clock.now() + std::chrono::seconds(1);
    CHECK_FALSE(gateway::is_wait_over(request));
    host.clock.advance(std::chrono::seconds(1));
    CHECK(gateway::is_wait_over(request));
    open.decline();
}

// Guards against passing on the refusal of a stopping host to a caller whom a third host could serve.
TEST_CASE("a request that a stopping host was forwarded and refuses unrun goes to another host") {
    test::gateway_cluster cluster({.name = "stop-forwarded",
                                   .servers = {{.id = "p1", .service = "engines", .stage = "prefill"},
                                               {.id = "d1", .service = "engines", .stage = "decode"}},
                                   .hosts = 3,
                                   .grace_ms = 1'200,
                                   .linked_hosts = 3});
    for (int host = 1; host <= 3; ++host)
        REQUIRE(test::eventually([&] { return cluster.state_of(host).at("peers").size() == 2; }));
    cluster.set_links(1, test::link_fault::reset);
    const auto is_forwarding = [&] {
        const auto answer =
            stand_in::http_exchange(cluster.callers_address(1), routed_request("/resume/", "probe"));
        return !cluster.state_of(1).at("unreachable_services").empty() && answer && answer->status == 200;
    };
    REQUIRE(test::eventually(is_forwarding));
    (void)cluster.server("d1", {{"forget_arrivals", true}});
    // Only the host that is refused knows that the engine wants to be left alone.
    (void)cluster.server("d1", {{"refuse", 1}, {"rest", "20"}, {"load", "16,4,16"}});
    test::client_connection client(cluster.callers_address(1), routed_request("/resume/", "id-1"));
    REQUIRE(test::eventually([&] { return cluster.server("d1").at("arrivals").size() == 1; }));
    (void)cluster.server("d1", {{"load", "0,0,16"}});
    const int holder = cluster.state_of(2).at("open_requests").empty() ? 3 : 2;
    cluster.host(holder).send_signal(SIGTERM);
    const std::string answer = client.read_at_least(1);
    INFO(answer);
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(cluster.host(holder).wait() == 0);
}

// Guards against a stream that is taken over from a silent host and forwarded to the same host again.
TEST_CASE("a host whose stream was given up for its silence is not asked next") {
    recording_host host;
    gateway::open_request open(host.state, *host.connection);
    const bool is_given_up = GENERATE(true, false);
    gateway::forwarded_exchange forwarded{
        .exchange = {}, .host = {"host-2"}, .granted_attempts = 1, .told_attempts = 1};
    forwarded.exchange.result = decision::attempt_result::late;
    forwarded.exchange.stalls.is_given_up = is_given_up;
    gateway::end_forwarding(open.request(), forwarded);
    CHECK(host.state.forwarding_peers.failed_at.contains({"host-2"}) == is_given_up);
    open.decline();
}

// Guards against a host that says it is ready and closes the connections that the balancer then sends it.
TEST_CASE("a host is not ready while it takes no further connections") {
    test::gateway_cluster cluster(
        {.name = "full", .servers = {{.id = "one"}}, .hosts = 1, .admits_by_load = false, .connections = 20});
    REQUIRE(cluster.is_ready(1));
    (void)cluster.server("one", {{"hang", 20}});
    std::vector<std::unique_ptr<test::client_connection>> clients;
    clients.reserve(20);
    for (int number = 0; number < 20; ++number)
        clients.push_back(std::make_unique<test::client_connection>(
            cluster.callers_address(), routed_request("/once/", "id-" + std::to_string(number))));
    REQUIRE(test::eventually([&] { return cluster.runs() == 20; }));
    CHECK(test::eventually([&] { return !cluster.is_ready(1); }));
    // None of the requests in progress gives way.
    test::client_connection newcomer(cluster.callers_address(), routed_request("/once/", "newcomer"));
    CHECK(newcomer.read_all().empty());
    const auto ended = [&] {
        return cluster.metric(1, "caller_connections_ended_total{cause=\"by_caller\"}");
    };
    clients.back()->drop();
    clients.pop_back();
    REQUIRE(test::eventually([&] { return ended() == 1; }));
    // It would be full again after one further connection.
    CHECK_FALSE(cluster.is_ready(1));
    clients.resize(10);
    CHECK(test::eventually([&] { return cluster.is_ready(1); }));
    clients.clear();
    (void)cluster.server("one", {{"hang", 0}});
    const auto answer = stand_in::http_exchange(cluster.callers_address(), routed_request("/once/", "id-20"));
    REQUIRE(answer);
    CHECK(answer->status == 200);
}

// Guards against a readiness check that a crowd can fail, although each newcomer is taken.
TEST_CASE("a host whose connections have no whole request is ready, and serves newcomers") {
    test::gateway_cluster cluster(
        {.name = "crowded", .servers = {{.id = "one"}}, .hosts = 1, .connections = 20});
    cluster.publish_limits(2, {{"headerTimeoutMs", 60'000}});
    REQUIRE(test::eventually([&] { return settings_version_at(cluster, 1) == 2; }));
    std::vector<std::unique_ptr<test::client_connection>> clients;
    clients.reserve(25);
    for (int number = 0; number < 25; ++number)
        clients.push_back(std::make_unique<test::client_connection>(
            cluster.callers_address(), std::string("POST /once/ HTTP/1.1\r\nHost:")));
    CHECK(test::eventually(
        [&] { return cluster.metric(1, "caller_connections_ended_total{cause=\"gave_way\"}") >= 5; }));
    CHECK(cluster.is_ready(1));
    const auto answer = stand_in::http_exchange(cluster.callers_address(), routed_request("/once/", "id-1"));
    REQUIRE(answer);
    CHECK(answer->status == 200);
}

// Guards against a stop that cuts a request whose upstream is still at work without telling its caller.
TEST_CASE("a request that its server does not answer before its host's end is told that it may have run") {
    test::gateway_cluster cluster(
        {.name = "stop-hung", .servers = {{.id = "one"}}, .hosts = 1, .grace_ms = 1'200});
    (void)cluster.server("one", {{"hang", 1}});
    test::client_connection client(cluster.callers_address(), routed_request("/once/", "id-1"));
    REQUIRE(test::eventually([&] { return cluster.runs() == 1; }));
    cluster.host(1).send_signal(SIGTERM);
    const std::string answer = client.read_all();
    INFO(answer);
    CHECK((answer.starts_with("HTTP/1.1 502") || answer.starts_with("HTTP/1.1 504")));
    CHECK(answer.find("Postpaddle-Outcome: unknown") != std::string::npos);
    CHECK(cluster.host(1).wait() == 0);
}

// Guards against a second stop signal or a reload that ends a drain early.
TEST_CASE("further signals during a drain don't cut the requests in progress") {
    test::gateway_cluster cluster({.name = "stop-again", .servers = {{.id = "one"}}});
    (void)cluster.server("one", {{"work_ms", 1'000}});
    test::client_connection client(cluster.callers_address(), routed_request("/once/", "id-1"));
    REQUIRE(test::eventually([&] { return cluster.runs() == 1; }));
    for (const int signal : {SIGTERM, SIGHUP, SIGTERM, SIGINT, SIGHUP})
        cluster.host(1).send_signal(signal);
    CHECK(client.read_all().starts_with("HTTP/1.1 200"));
    CHECK(cluster.host(1).wait() == 0);
}

// Guards against a signal in the last moments of a planned stop, which would end the process in its own way.
TEST_CASE("a host that is signalled until the end of its stop exits as planned") {
    constexpr int stops = 4;
    test::gateway_cluster cluster(
        {.name = "stop-signals", .servers = {{.id = "one"}}, .hosts = 1, .grace_ms = 1'200});
    for (int number = 0; number < stops; ++number) {
        test::client_connection partial(cluster.callers_address(), std::string("POST /once/ HTTP/1.1\r\n"));
        cluster.host(1).send_signal(SIGTERM);
        {
            const std::jthread sender([&](const std::stop_token& stop) {
                for (int count = 0; !stop.stop_requested(); ++count) {
                    cluster.host(1).send_signal(count % 2 == 0 ? SIGHUP : SIGTERM);
                    std::this_thread::sleep_for(std::chrono::microseconds(100));
                }
            });
            CHECK(test::eventually([&] { return test::has_ended(cluster.host(1).id()); }));
        }
        CHECK(cluster.host(1).wait() == 0);
        cluster.start_host(1);
        REQUIRE(test::eventually([&] { return cluster.is_ready(1); }));
    }
}

// Guards against streams that a stopping host begins although it can't complete them.
TEST_CASE("a stopping host takes a stream only if it can end before the host does") {
    recording_host host;
    gateway::open_request open(host.state, *host.connection);
    gateway::gateway_request& request = open.request();
    gateway::settings_in_force settings;
    settings.document.value = std::make_shared<const settings::routing_settings>();
    request.settings = std::make_shared<const gateway::settings_in_force>(std::move(settings));
    settings::route_entry route;
    route.kind = settings::route_kind::stream;
    request.route = &route;
    request.service = "engines";
    request.routed.output_tokens = 50;
    request.deadline = host.clock.now() + std::chrono::seconds(60);
    decision::service_profile& profile = host.state.profiles["engines"];
    profile.streams_timed = 1'000;
    profile.speed.first_event.value = 0.2;
    profile.event_seconds.value = 0.1;
    CHECK_FALSE(gateway::is_beyond_drain(request));
    const auto drain_of = [&](base::duration grace) {
        return decision::make_drain_schedule({.grace_period = grace}, host.clock.now());
    };
    gateway::begin_drain(host.state, drain_of(std::chrono::seconds(8)));
    CHECK_FALSE(gateway::is_beyond_drain(request));
    gateway::begin_drain(host.state, drain_of(std::chrono::seconds(2)));
    CHECK(gateway::is_beyond_drain(request));
    SECTION("not where it is short enough by its caller's limit") {
        request.routed.output_tokens = 5;
        CHECK_FALSE(gateway::is_beyond_drain(request));
    }
    SECTION("not where its caller waits no longer than that") {
        request.deadline_before_drain = host.clock.now() + std::chrono::milliseconds(1'200);
        CHECK_FALSE(gateway::is_beyond_drain(request));
        profile.streams_timed = 0;
        CHECK_FALSE(gateway::is_beyond_drain(request));
    }
    SECTION("nor where only its caller's patience is known, and is longer") {
        profile.streams_timed = 0;
        gateway::begin_drain(host.state, drain_of(std::chrono::seconds(8)));
        request.deadline_before_drain = host.clock.now() + std::chrono::seconds(9);
        CHECK(gateway::is_beyond_drain(request));
    }
    SECTION("not once it may have run") {
        request.record.attempts = 1;
        CHECK_FALSE(gateway::is_beyond_drain(request));
    }
    open.decline();
}

// Guards against an exception that ends the process, and with it the requests of all other callers.
TEST_CASE("an exception while a request is served ends only that request, with an answer") {
    recording_host host;
    host.process.policy.wait_for_initial_state = false;
    host.state.protocol.read_request =
        [](wire::http_request request) -> wire::expected<ports::routed_request> {
        const wire::http_request taken = std::move(request);
        throw std::runtime_error(taken.target);
    };
    (void)host.caller.send(wire::asio::buffer(
        std::string("POST /once/ HTTP/1.1\r\nHost: cluster.example\r\nContent-Length: 0\r\n\r\n")));
    host.caller.shutdown(tcp::socket::shutdown_send);
    wire::spawn_coroutine(host.context, [&](wire::yield_context yield) {
        serve_caller(host.state, *host.connection, yield);
        host.connection->abort();
    });
    REQUIRE_NOTHROW(host.context.run());
    std::string answer(4'096, '\0');
    wire::error_code ignored;
    answer.resize(host.caller.receive(wire::asio::buffer(answer), 0, ignored));
    CHECK(answer.starts_with("HTTP/1.1 500"));
    CHECK(answer.find("Postpaddle-Outcome: unknown") != std::string::npos);
    CHECK(host.counter("request_exceptions_total") == 1);
    CHECK(host.counter("requests_total{ending=\"failed\"}") == 1);
    CHECK(host.state.requests_in_progress == 0);
}
