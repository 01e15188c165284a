// SPDX-License-Identifier: BSD-2-Clause
// Upstreams that send bytes without end until the host closes the connection. Guards against a host that
// collects and searches them until a caller's time is over, and against callers that pay for it.
#include <support/gateway_cluster.h>
#include <support/process_memory.h>
#include <support/test_cluster.h>

#include <catch2/catch.hpp>

#include <future>
#include <string>
#include <thread>
#include <vector>

using namespace postpaddle;
using test::routed_request;

namespace {

constexpr int events = 5;

std::string complete_stream() {
    std::string text;
    for (int event = 1; event <= events; ++event)
        text += "id: " + std::to_string(event) + "\ndata: token-" + std::to_string(event) + "\n\n";
    return text;
}

test::gateway_cluster make_engine_cluster(const std::string& name, int events_per_stream = events) {
    return test::gateway_cluster(
        {.name = name,
         .servers = {{.id = "p1", .service = "engines", .stage = "prefill"},
                     {.id = "d1", .service = "engines", .stage = "decode", .events = events_per_stream},
                     {.id = "d2", .service = "engines", .stage = "decode", .events = events_per_stream}}});
}

/// Bytes that a server has sent in responses without end.
std::size_t endless_bytes(test::gateway_cluster& cluster, const std::string& id) {
    return cluster.server(id).at("endless_bytes").get<std::size_t>();
}

/// What both engines may have sent before the host closed the connection: the host's bound and socket
/// buffers, which hold several megabytes on the loopback interface.
constexpr std::size_t max_sent_bytes = 16UL * 1024 * 1024;

/// A host that idles uses about 20 MB.
constexpr std::size_t max_host_memory_bytes = 30UL * 1024 * 1024;
/// Several times what a stream costs in an unoptimised build.
constexpr double max_cpu_seconds_per_request = 0.02;

/// Sends requests until one has been sent to server `one`, which has these faults and is preferred, as it is
/// in the host's zone. All must be served.
void serve_until_endless(test::gateway_cluster& cluster, const std::string& path,
                         const nlohmann::json& faults) {
    static constexpr int max_requests = 100;
    (void)cluster.server("one", faults);
    for (int request = 0; endless_bytes(cluster, "one") == 0; ++request) {
        REQUIRE(request < max_requests);
        const auto answer = stand_in::http_exchange(cluster.callers_address(),
                                                    routed_request(path, "id-" + std::to_string(request)));
        REQUIRE(answer);
        CHECK(answer->status == 200);
    }
}

} // namespace

// Guards against an event that is collected until the caller's time is over, as each part of it renewed the
// deadline, and against events that bring the stream no further and are taken for progress, or passed on.
TEST_CASE("a stream whose event never ends goes on at another engine") {
    // As fast as the host reads them, or one at a time.
    const int pause_ms = GENERATE(0, 50);
    const std::string text = GENERATE("x", "\n\n", ": comment\n\n", "id: 1\ndata: again\n\n");
    auto cluster = make_engine_cluster("endless-event");
    // Whichever engine is asked first sends without end; the other one resumes the stream.
    for (const auto* id : {"d1", "d2"})
        (void)cluster.server(id, {{"endless", 1}, {"endless_text", text}, {"endless_pause_ms", pause_ms}});
    INFO("'" << text << "' with a pause of " << pause_ms << " ms, logs in " << cluster.log_folder());
    const auto answer =
        stand_in::http_exchange(cluster.callers_address(), routed_request("/resume/", "id-1"));
    REQUIRE(answer);
    CHECK(answer->body == complete_stream());
    for (const auto* id : {"d1", "d2"}) {
        CHECK(cluster.arrivals(id) == 1);
        CHECK(endless_bytes(cluster, id) < max_sent_bytes);
    }
}

// Guards against the other callers and the host's memory and processor paying for an engine that sends
// without end.
TEST_CASE("an engine whose events never end costs its callers and the host little") {
    auto cluster = make_engine_cluster("endless-engine");
    (void)cluster.server("d1", {{"endless", 1'000'000}});
    constexpr int callers = 8;
    constexpr int streams_per_caller = 25;
    std::vector<std::future<int>> served;
    served.reserve(callers);
    for (int caller = 0; caller < callers; ++caller)
        served.push_back(std::async(std::launch::async, [&cluster, caller] {
            int complete = 0;
            for (int stream = 0; stream < streams_per_caller; ++stream) {
                const auto answer = stand_in::http_exchange(
                    cluster.callers_address(),
                    routed_request("/resume/", std::to_string(caller) + "-" + std::to_string(stream)));
                complete += answer && answer->body == complete_stream() ? 1 : 0;
            }
            return complete;
        }));
    for (auto& complete : served)
        CHECK(complete.get() == streams_per_caller);
    // The engine was asked, and not only once.
    CHECK(cluster.arrivals("d1") > 1);
    CHECK(test::peak_memory_bytes(cluster.host(1).id()) < max_host_memory_bytes);
    const double cpu_seconds = stand_in::read_process_usage(cluster.host(1).id()).cpu_seconds;
    CHECK(cpu_seconds < max_cpu_seconds_per_request * callers * streams_per_caller);
}

// Guards against a prompt whose answer is collected until the request's time is over.
TEST_CASE("a request whose prefill is answered without end is served by another engine") {
    auto cluster = make_engine_cluster("endless-prefill");
    (void)cluster.server("p1", {{"endless", 1}});
    const auto answer =
        stand_in::http_exchange(cluster.callers_address(), routed_request("/resume/", "id-1"));
    REQUIRE(answer);
    CHECK(answer->body == complete_stream());
    CHECK(endless_bytes(cluster, "p1") < max_sent_bytes);
    CHECK(test::peak_memory_bytes(cluster.host(1).id()) < max_host_memory_bytes);
}

// Guards against a body that is collected up to 64 MB, also that of an answer to another request.
TEST_CASE("a plain answer without end fails, and is retried where the route allows it") {
    const auto* const fault = GENERATE("endless", "endless_foreign");
    INFO(fault);
    test::gateway_cluster cluster(
        {.name = "endless-plain", .servers = {{.id = "one"}, {.id = "two", .zone = "west"}}});
    SECTION("and not otherwise") {
        for (const auto* id : {"one", "two"})
            (void)cluster.server(id, {{fault, 1}});
        const auto answer =
            stand_in::http_exchange(cluster.callers_address(), routed_request("/once/", "id-1"));
        REQUIRE(answer);
        CHECK(answer->status == 502);
        CHECK(cluster.runs() == 1);
    }
    SECTION("on another upstream") { serve_until_endless(cluster, "/again/", {{fault, 1}}); }
    CHECK(endless_bytes(cluster, "one") + endless_bytes(cluster, "two") < 2 * max_sent_bytes);
}

// Guards against a request that has certainly not run and is given up as if it had.
TEST_CASE("a refusal whose body has no end is a refusal") {
    test::gateway_cluster cluster(
        {.name = "endless-refusal", .servers = {{.id = "one"}, {.id = "two", .zone = "west"}}});
    serve_until_endless(cluster, "/once/", {{"refuse", 1}, {"endless", 1}});
    CHECK(endless_bytes(cluster, "one") < 2 * max_sent_bytes);
}

// Guards against a report that is collected up to 64 MB.
TEST_CASE("a report without end costs the host little") {
    std::vector<test::server_plan> engines = {{.id = "d1", .service = "engines", .stage = "decode"},
                                              {.id = "d2", .service = "engines", .stage = "decode"}};
    for (const auto* id : {"p1", "p2", "p3", "p4"})
        engines.push_back({.id = id, .service = "engines", .stage = "prefill"});
    test::gateway_cluster cluster({.name = "endless-report", .servers = engines});
    const auto sent_bytes = [&] {
        std::size_t sent = 0;
        for (const auto* id : {"p1", "p2", "p3", "p4"})
            sent += endless_bytes(cluster, id);
        return sent;
    };
    for (const auto* id : {"p1", "p2", "p3", "p4"})
        (void)cluster.server(id, {{"endless_calls", 1}});
    // Slow decode engines, to which a prefill engine is moved after its report has been read.
    for (const auto* id : {"d1", "d2"})
        (void)cluster.server(id, {{"work_ms", 100}});
    for (int number = 0; number < 12; ++number)
        CHECK(status_at(cluster, 1, "/stream/") == 200);
    CHECK(test::eventually([&] { return sent_bytes() > 0; }));
    CHECK(test::eventually([&] {
        const std::size_t before = sent_bytes();
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        return sent_bytes() == before;
    }));
    CHECK(test::peak_memory_bytes(cluster.host(1).id()) < max_host_memory_bytes);
}
