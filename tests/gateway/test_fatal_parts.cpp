// SPDX-License-Identifier: BSD-2-Clause
// Requests of which no two are alike, but that share a part of their prompts with which engines crash.
#include <base/clock.h>
#include <support/gateway_cluster.h>
#include <support/test_cluster.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <mutex>
#include <thread>
#include <vector>

using namespace postpaddle;
using namespace std::chrono_literals;
using test::routed_request;

namespace {

/// Time after the fifth crash from which requests with the part must not reach engines.
constexpr auto contact_time = 3s;
constexpr auto restart_time = 1'000ms;
const std::vector<std::string> decode_engines = {"d1", "d2", "d3", "d4", "d5", "d6", "d7", "d8"};

std::vector<test::server_plan> make_plans() {
    std::vector<test::server_plan> plans = {{.id = "p1", .service = "engines", .stage = "prefill"},
                                            {.id = "p2", .service = "engines", .stage = "prefill"}};
    for (const std::string& id : decode_engines)
        plans.push_back({.id = id, .service = "engines", .stage = "decode", .fatal_part = "bad"});
    return plans;
}

/// Restarts engines some time after they have exited.
class engine_keeper {
public:
    explicit engine_keeper(test::gateway_cluster& cluster)
        : thread([this, &cluster](const std::stop_token& stop) { this->run(cluster, stop); }) {}

    [[nodiscard]] int crashes() const { return this->exits; }

private:
    void run(test::gateway_cluster& cluster, const std::stop_token& stop) {
        std::map<std::string, base::time_point> exited_at;
        for (std::uint64_t born = 1; !stop.stop_requested(); std::this_thread::sleep_for(20ms))
            for (const std::string& id : decode_engines) {
                const base::time_point now = base::boot_clock::now();
                const auto exited = exited_at.find(id);
                if (exited == exited_at.end() && !cluster.is_serving(id)) {
                    exited_at[id] = now;
                    ++this->exits;
                } else if (exited != exited_at.end() && now - exited->second > restart_time) {
                    cluster.restart_server(id, ++born);
                    exited_at.erase(id);
                }
            }
    }

    std::atomic<int> exits = 0;
    std::jthread thread; ///< Last: it uses the others.
};

struct answer_counts {
    int sent = 0;
    int served = 0;
};

/// Sends requests at a steady rate over all hosts, every sixth one with the fatal part.
class steady_load {
public:
    steady_load(const test::gateway_cluster& cluster, std::string path)
        : cluster(&cluster), path(std::move(path)) {}

    void run(std::chrono::milliseconds length) {
        const auto end = base::boot_clock::now() + length;
        std::vector<std::future<void>> open;
        while (base::boot_clock::now() < end) {
            const int number = ++this->requests;
            open.push_back(std::async(std::launch::async, [this, number] { this->send(number); }));
            std::this_thread::sleep_for(50ms);
        }
    }

    answer_counts sound;    ///< Requests without the part.
    int fatal_sends = 0;    ///< Requests with the part that may have reached an engine.
    int fatal_refusals = 0; ///< Requests with the part that were refused, not run.

private:
    void send(int number) {
        const bool is_fatal = number % 6 == 0;
        const std::string id = std::to_string(number);
        auto request = routed_request(this->path, "part-" + id);
        request.headers.push_back({"X-Prompt-Prefix", "first:50,group" + std::to_string(number % 3) +
                                                          (is_fatal ? ":20,bad:10,own" : ":20,own") + id +
                                                          ":20"});
        const auto answer = stand_in::http_exchange(this->cluster->callers_address(1 + number % 3), request);
        const int status = answer ? answer->status : 0;
        const std::lock_guard lock(this->mutex);
        if (is_fatal) {
            ++(status == 503 ? this->fatal_refusals : this->fatal_sends);
            return;
        }
        ++this->sound.sent;
        this->sound.served += status == 200 ? 1 : 0;
    }

    const test::gateway_cluster* cluster;
    std::string path;
    std::atomic<int> requests = 0;
    std::mutex mutex;
};

} // namespace

// Guards against requests of which no two are alike ending one engine after the other by a part that they
// share, and against sound requests being refused for the other parts that they share with these.
TEST_CASE("requests with a part of their prompts under which engines end are stopped, sound ones are not") {
    const std::string path = GENERATE("/stream/", "/resume/");
    test::gateway_cluster cluster(
        {.name = path == "/stream/" ? "fatal-part-once" : "fatal-part", .servers = make_plans(), .hosts = 3});
    const engine_keeper engines(cluster);
    steady_load load(cluster, path);
    while (engines.crashes() < 5 && load.sound.sent < 400)
        load.run(200ms);
    load.run(contact_time);
    const int sent_before = load.fatal_sends;
    const answer_counts before = load.sound;
    load.run(6s);
    INFO("crashes " << engines.crashes() << ", refused " << load.fatal_refusals);
    CHECK(load.fatal_sends - sent_before <= 3);
    CHECK(load.fatal_refusals > 0);
    const int sent = load.sound.sent - before.sent;
    CHECK(load.sound.served - before.served >= sent * 9 / 10);
}
