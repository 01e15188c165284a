// SPDX-License-Identifier: BSD-2-Clause
// Guards against a host that ends, exceeds its memory or serves nobody else before clients that keep no
// limit: that send heads, chunk extensions, trailers and bodies without end, stop just short of the end of a
// request, or send nothing.
//
// The checks don't depend on the speed of the machine: the process lives, its memory and descriptors stay
// under a bound, and one ordinary request is answered.
#include <support/crowd.h>
#include <support/gateway_cluster.h>
#include <support/process_memory.h>
#include <support/test_cluster.h>
#include <support/untrusted_clients.h>

#include <catch2/catch.hpp>

#include <filesystem>
#include <iterator>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <sys/resource.h>

using namespace postpaddle;
using nlohmann::json;
using test::crowd;
using test::make_untrusted_clients;
using test::named_crowd;

namespace {

constexpr int memory_mb = 110;
constexpr std::size_t memory_bytes = 1'000'000UL * memory_mb;
constexpr int connections = 500;
/// Beside the callers' connections: listeners, store, upstreams, other hosts, log.
constexpr std::ptrdiff_t other_descriptors = 200;

test::gateway_cluster_options options_for(const std::string& name, int hosts = 1) {
    return {.name = name,
            .servers = {{.id = "one"}, {.id = "two"}},
            .hosts = hosts,
            .admits_by_load = false,
            .connections = connections,
            .memory_mb = memory_mb};
}

/// Limits the data that processes may map which are started while it exists.
class scoped_data_limit {
public:
    explicit scoped_data_limit(std::size_t bytes) {
        REQUIRE(getrlimit(RLIMIT_DATA, &this->former) == 0);
        rlimit limit = this->former;
        limit.rlim_cur = bytes;
        REQUIRE(setrlimit(RLIMIT_DATA, &limit) == 0);
    }
    scoped_data_limit(const scoped_data_limit&) = delete;
    scoped_data_limit(scoped_data_limit&&) = delete;
    scoped_data_limit& operator=(const scoped_data_limit&) = delete;
    scoped_data_limit& operator=(scoped_data_limit&&) = delete;
    ~scoped_data_limit() { (void)setrlimit(RLIMIT_DATA, &this->former); }

private:
    rlimit former{};
};

std::ptrdiff_t descriptors_of(pid_t pid) {
    const std::filesystem::directory_iterator all("/proc/" + std::to_string(pid) + "/fd");
    return std::distance(begin(all), end(all));
}

/// Waits until the process has worked off what has arrived: it needs next to no processor time.
void await_rest(pid_t pid) {
    constexpr double rest_cpu_seconds = 0.02;
    REQUIRE(test::eventually([&] {
        const double before = stand_in::read_process_usage(pid).cpu_seconds;
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        return stand_in::read_process_usage(pid).cpu_seconds - before <= rest_cpu_seconds;
    }));
}

int ordinary_status(const test::gateway_cluster& cluster, int host = 1) {
    wire::http_request request = test::routed_request("/again/", "ordinary");
    request.body = std::string(1'000, 'x');
    const auto answer = stand_in::http_exchange(cluster.callers_address(host), request);
    return answer ? answer->status : 0;
}

/// Whether the host lives within its bounds and serves an ordinary request.
void check_host(test::gateway_cluster& cluster, int number = 1) {
    const pid_t pid = cluster.host(number).id();
    await_rest(pid);
    CHECK(descriptors_of(pid) <= connections + other_descriptors);
    CHECK(ordinary_status(cluster, number) == 200);
    const std::size_t peak = test::peak_memory_bytes(pid);
    CHECK(peak > 0);
    CHECK(peak < memory_bytes);
}

int status_of(const test::gateway_cluster& cluster, const std::string& framing, const std::string& body) {
    const std::string answer = test::raw_exchange(
        cluster.callers_address(), "POST /once/ HTTP/1.1\r\nHost: cluster.example\r\nX-Attempt-Id: calm-" +
                                       std::to_string(body.size()) + "\r\nConnection: close\r\n" + framing +
                                       "\r\n\r\n" + body);
    return answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3));
}

/// A body of that many bytes in chunks of 4,000.
std::string in_chunks(std::size_t bytes) {
    constexpr std::size_t chunk_bytes = 4'000;
    std::string text;
    for (; bytes >= chunk_bytes; bytes -= chunk_bytes)
        text += "fa0\r\n" + std::string(chunk_bytes, 'x') + "\r\n";
    std::ostringstream last;
    if (bytes > 0)
        last << std::hex << bytes << "\r\n" << std::string(bytes, 'x') << "\r\n";
    return text + last.str() + "0\r\n\r\n";
}

} // namespace

TEST_CASE(
    "a host keeps within its memory before a crowd of each kind, and serves an ordinary request after") {
    for (const named_crowd& each : make_untrusted_clients()) {
        DYNAMIC_SECTION(each.name) {
            test::gateway_cluster cluster(options_for("untrusted"));
            crowd clients(cluster.callers_address(), each.plan);
            clients.send_all();
            check_host(cluster);
        }
    }
}

TEST_CASE("a host keeps within its memory before crowds of all kinds at once, at each of two hosts") {
    test::gateway_cluster cluster(options_for("untrusted-mixed", 2));
    std::vector<std::unique_ptr<crowd>> crowds;
    for (const int host : {1, 2})
        for (named_crowd each : make_untrusted_clients()) {
            each.plan.clients = 40;
            crowds.push_back(std::make_unique<crowd>(cluster.callers_address(host), each.plan));
        }
    std::vector<std::jthread> senders;
    senders.reserve(crowds.size());
    for (const auto& each : crowds)
        senders.emplace_back([&each] { each->send_all(); });
    senders.clear();
    check_host(cluster, 1);
    check_host(cluster, 2);
}

// Guards against heads, which no account contained: connections times their largest size is no bound.
TEST_CASE("a host keeps within its memory before heads just short of their end") {
    constexpr std::size_t head_bytes = 1'000'000;
    test::gateway_cluster cluster(options_for("untrusted-heads"));
    cluster.publish_limits(2, {{"maxHeaderBytes", head_bytes}});
    REQUIRE(test::eventually([&] { return settings_version_at(cluster, 1) == 2; }));
    crowd clients(cluster.callers_address(), {.begin = "GET /again/ HTTP/1.1\r\nHost: cluster.example\r\n",
                                              .repeated = "X-Field: " + std::string(100, 'x') + "\r\n",
                                              .repeated_bytes = head_bytes - 1'000,
                                              .clients = 300,
                                              .is_each_from_own_address = true});
    clients.send_all();
    check_host(cluster);
}

// Guards against places that are held by whoever came first.
TEST_CASE("a host whose connections are all held by clients that send nothing serves a newcomer") {
    const bool is_each_from_own_address = GENERATE(true, false);
    test::gateway_cluster cluster(options_for("untrusted-places"));
    const crowd clients(cluster.callers_address(),
                        {.clients = connections + 20, .is_each_from_own_address = is_each_from_own_address});
    check_host(cluster);
    CHECK(cluster.is_ready(1));
}

// Guards against a connection whose address is not known any more when it is taken.
TEST_CASE("a host whose connections are all held lives before clients that reset theirs at once") {
    test::gateway_cluster cluster(options_for("untrusted-resets"));
    const crowd clients(cluster.callers_address(), {.clients = connections + 20});
    for (int round = 0; round < 100; ++round)
        const crowd resets(cluster.callers_address(),
                           {.clients = 10, .is_each_from_own_address = true, .does_reset = true});
    check_host(cluster);
}

// Guards against an exception where a connection is taken, which would end everybody's requests: each
// connection maps a stack.
TEST_CASE("a host that may map little memory lives with all its connections held, and serves a newcomer") {
    test::gateway_cluster cluster(options_for("untrusted-mapped"));
    {
        const scoped_data_limit limit(memory_bytes);
        cluster.start_host(2);
    }
    REQUIRE(test::eventually([&] { return cluster.is_ready(2); }));
    const crowd clients(cluster.callers_address(2), {.clients = connections + 20});
    check_host(cluster, 2);
}

// Guards against a crowd at a port that serves the balancer, operators or other hosts.
TEST_CASE("a host whose readiness port is crowded still answers the balancer's check") {
    test::gateway_cluster cluster(options_for("untrusted-readiness"));
    const crowd clients(cluster.readiness_address(), {.clients = 60});
    CHECK(cluster.is_ready(1));
    check_host(cluster);
}

TEST_CASE("a host keeps within its memory before a crowd at the port for other hosts") {
    const named_crowd each = make_untrusted_clients().front();
    test::gateway_cluster cluster(options_for("untrusted-peers"));
    crowd clients(cluster.peers_address(), each.plan);
    clients.send_all();
    CHECK(cluster.state_of(1).is_object());
    check_host(cluster);
}

// Guards against connections that nothing bounds beside those of callers.
TEST_CASE("a host keeps within its memory before clients that send nothing to the port for other hosts") {
    test::gateway_cluster cluster(options_for("untrusted-silent-peers"));
    const crowd clients(cluster.peers_address(), {.clients = 3'000, .is_each_from_own_address = true});
    CHECK(cluster.state_of(1).is_object());
    const pid_t pid = cluster.host(1).id();
    await_rest(pid);
    CHECK(descriptors_of(pid) <= 1'000 + other_descriptors);
    CHECK(ordinary_status(cluster) == 200);
    CHECK(test::peak_memory_bytes(pid) < memory_bytes);
}

// Guards against an account that has no room for what the limits in force allow.
TEST_CASE("a request at the limits in force is served in calm, in chunks and with a length") {
    const std::size_t body_bytes = GENERATE(65'536, 4'194'304, 16'777'216);
    test::gateway_cluster cluster(options_for("untrusted-calm"));
    cluster.publish_limits(2, {{"maxBodyBytes", body_bytes}});
    REQUIRE(test::eventually([&] { return settings_version_at(cluster, 1) == 2; }));
    INFO(body_bytes);
    CHECK(status_of(cluster, "Transfer-Encoding: chunked", in_chunks(body_bytes)) == 200);
    CHECK(status_of(cluster, "Content-Length: " + std::to_string(body_bytes), std::string(body_bytes, 'x')) ==
          200);
    check_host(cluster);
}

TEST_CASE("a host of the own interface keeps within its memory before a crowd of each kind") {
    for (const named_crowd& each : make_untrusted_clients()) {
        DYNAMIC_SECTION(each.name) {
            stand_in::cluster cluster(test::small_cluster_options("untrusted"));
            REQUIRE(cluster.publish(test::cluster_document()));
            cluster.wait_until_ready();
            const pid_t pid = cluster.hosts[0].process->id();
            crowd clients(cluster.hosts[0].callers_address, each.plan);
            clients.send_all();
            await_rest(pid);
            const auto answer = stand_in::http_exchange(
                cluster.hosts[0].callers_address, test::completion_request(test::make_prompt("ordinary"), 5));
            REQUIRE(answer);
            CHECK(answer->status == 200);
            CHECK(test::peak_memory_bytes(pid) < memory_bytes);
        }
    }
}
