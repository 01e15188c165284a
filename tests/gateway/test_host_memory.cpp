// SPDX-License-Identifier: BSD-2-Clause
// Guards against a host that runs out of memory, and so ends everybody's requests, before servers that all
// send without end, and before callers with large bodies.
#include <support/gateway_cluster.h>
#include <support/process_memory.h>
#include <support/test_cluster.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

using namespace postpaddle;
using namespace std::chrono_literals;

namespace {

constexpr int memory_mb = 110;
constexpr std::size_t memory_bytes = 1'000'000UL * memory_mb;
constexpr int sound_callers = 4;

/// Threads that call `call` again and again, all until this object is destroyed.
class repeated_calls {
public:
    template <class Function> repeated_calls(int count, Function call) {
        this->threads.reserve(static_cast<std::size_t>(count));
        for (int thread = 0; thread < count; ++thread)
            this->threads.emplace_back([this, call, thread] {
                for (int number = 0; !this->is_over; ++number)
                    call(std::to_string(thread) + "-" + std::to_string(number));
            });
    }
    repeated_calls(const repeated_calls&) = delete;
    repeated_calls(repeated_calls&&) = delete;
    repeated_calls& operator=(const repeated_calls&) = delete;
    repeated_calls& operator=(repeated_calls&&) = delete;
    ~repeated_calls() { this->is_over = true; }

private:
    std::atomic<bool> is_over = false;
    std::vector<std::jthread> threads; ///< Joined before the flag is destroyed.
};

struct sound_load {
    std::atomic<int> served = 0;
    std::atomic<int> failed = 0;
};

/// Streams of engines that send no more than they are asked for.
repeated_calls call_engines(const test::gateway_cluster& cluster, sound_load& load) {
    return {sound_callers, [&](const std::string& id) {
                const auto answer = stand_in::http_exchange(cluster.callers_address(),
                                                            test::routed_request("/resume/", "sound-" + id));
                ++(answer && answer->status == 200 ? load.served : load.failed);
                std::this_thread::sleep_for(20ms);
            }};
}

test::gateway_cluster_options options_for(const std::string& name) {
    return {.name = name,
            .servers = {{.id = "p1", .service = "engines", .stage = "prefill"},
                        {.id = "d1", .service = "engines", .stage = "decode"},
                        {.id = "one"},
                        {.id = "two"}},
            .admits_by_load = false,
            .connections = 2'000,
            .memory_mb = memory_mb};
}

} // namespace

TEST_CASE("a host before servers that all send without end keeps within its memory, and serves all others") {
    const int callers = GENERATE(60, 1'000);
    INFO(callers << " callers");
    test::gateway_cluster cluster(options_for("endless-" + std::to_string(callers)));
    for (const auto* id : {"one", "two"})
        (void)cluster.server(
            id,
            {{"endless", 1'000'000}, {"endless_text", std::string(16'384, 'x')}, {"endless_pause_ms", 20}});
    sound_load load;
    {
        const repeated_calls sound = call_engines(cluster, load);
        const repeated_calls endless(callers, [&](const std::string& id) {
            (void)stand_in::http_exchange(cluster.callers_address(), test::routed_request("/again/", id), 3s);
        });
        std::this_thread::sleep_for(5s);
    }
    const auto state = cluster.state_of(1);
    REQUIRE(state.is_object());
    INFO(state.at("collected_answers").dump());
    CHECK(test::peak_memory_bytes(cluster.host(1).id()) < memory_bytes);
    CHECK(state.at("collected_answers").at("given_up") > 0);
    CHECK(load.failed == 0);
    CHECK(load.served > 0);
}

TEST_CASE("a host before callers whose bodies it has no memory for refuses them with when to come back, and "
          "serves all others") {
    constexpr int callers = 200;
    constexpr std::size_t body_bytes = 400'000;
    test::gateway_cluster cluster(options_for("large-bodies"));
    cluster.publish_limits(2, {{"maxBodyBytes", 4'000'000}});
    REQUIRE(test::eventually([&] { return settings_version_at(cluster, 1) == 2; }));
    std::atomic<int> refused = 0;
    std::atomic<int> others = 0;
    sound_load load;
    {
        const repeated_calls sound = call_engines(cluster, load);
        const repeated_calls large(callers, [&](const std::string& id) {
            auto request = test::routed_request("/again/", id);
            request.body = std::string(body_bytes, 'x');
            const auto answer = stand_in::http_exchange(cluster.callers_address(), request, 3s);
            if (!answer || answer->status == 200)
                return;
            const bool is_told = answer->status == 503 &&
                                 !wire::find_header(answer->headers, "Retry-After").empty() &&
                                 wire::find_header(answer->headers, "Postpaddle-Outcome") == "not-run";
            ++(is_told ? refused : others);
        });
        std::this_thread::sleep_for(4s);
    }
    const auto state = cluster.state_of(1);
    REQUIRE(state.is_object());
    INFO(state.at("collected_requests").dump() << ", " << refused << " refused, " << others << " others");
    CHECK(test::peak_memory_bytes(cluster.host(1).id()) < memory_bytes);
    CHECK(refused > 0);
    CHECK(others == 0);
    CHECK(load.failed == 0);
}
