// SPDX-License-Identifier: BSD-2-Clause
// Guards against answers that join two software versions: streams that begin at a new version through other
// hosts return to a host that was out of step while its engines joined.
#include <support/gateway_cluster.h>
#include <support/resumable_caller.h>
#include <support/test_cluster.h>

#include <catch2/catch.hpp>

#include <csignal>
#include <thread>

using namespace postpaddle;
using namespace std::chrono_literals;
using test::attempt_naming;

namespace {

constexpr int streams = 40;
constexpr int nine_in_ten = 36;
constexpr double nine_tenths = 0.9;
constexpr auto caller_patience = 6s;
constexpr int hosts = 3;

/// Host 1 is the one out of step, and the first to read and write for others.
test::gateway_cluster make_cluster(const std::string& name) {
    test::gateway_cluster cluster(
        {.name = name,
         .servers = {{.id = "p1", .service = "engines", .stage = "prefill", .software_version = "v1"},
                     {.id = "d1", .service = "engines", .stage = "decode", .software_version = "v1"},
                     {.id = "d2", .service = "engines", .stage = "decode", .software_version = "v1"}},
         .hosts = hosts});
    test::await_peers(cluster, hosts);
    return cluster;
}

void slow_down(test::gateway_cluster& cluster, const std::string& id) {
    (void)cluster.server(id, {{"work_ms", 20}, {"events", test::resumed_stream_length}});
}

/// Engines of a version join; waits until the hosts from the second on list them.
void release(test::gateway_cluster& cluster, const std::string& version) {
    for (const auto* stage : {"prefill", "decode"})
        for (const auto* number : {"a", "b"}) {
            const std::string id = std::string(stage) + number + version;
            cluster.add_server({.id = id, .service = "engines", .stage = stage, .software_version = version});
            slow_down(cluster, id);
        }
    for (int host = 2; host <= hosts; ++host)
        REQUIRE(test::eventually(
            [&] { return cluster.state_of(host).at("instances").contains("decodeb" + version); }));
}

/// Begins streams through the other hosts while the callers' next host is out of step.
test::resumable_callers begin(const test::gateway_cluster& cluster, const std::string& name) {
    auto callers = test::begin_streams(
        cluster, {.hosts = {2, 3}, .number = streams, .name = name, .patience = caller_patience});
    test::leave_all(callers);
    return callers;
}

/// Resumes half of the streams by name at host 1, the others unnamed. None may be mixed, and that share of
/// the named ones must go on.
void resume_at_first(const test::gateway_cluster& cluster, test::resumable_callers callers,
                     double least_named) {
    test::resumable_callers unnamed;
    for (std::size_t index = 0; index < callers.size(); index += 2)
        unnamed.push_back(std::move(callers[index]));
    std::erase(callers, nullptr);
    const auto counts = test::resume_streams(cluster, callers, {1}, attempt_naming::named);
    const auto others = test::resume_streams(cluster, unnamed, {1}, attempt_naming::unnamed);
    CHECK(counts.mixed + others.mixed == 0);
    WARN("named: " << counts.complete << " of " << callers.size() << " go on; unnamed: " << others.complete
                   << " of " << unnamed.size());
    CHECK(counts.complete >= least_named * static_cast<double>(callers.size()));
}

} // namespace

TEST_CASE("streams go on at their version through a host that stood still during two releases") {
    auto cluster = make_cluster("stood-still");
    for (const auto* id : {"d1", "d2"})
        slow_down(cluster, id);
    for (const auto* version : {"v2", "v3"}) {
        cluster.host(1).send_signal(SIGSTOP);
        release(cluster, version);
        auto callers = begin(cluster, std::string("still-") + version);
        REQUIRE(callers.size() >= nine_in_ten);
        cluster.host(1).send_signal(SIGCONT);
        resume_at_first(cluster, std::move(callers), nine_tenths);
    }
}

TEST_CASE("streams go on at their version through a host that the store turned away during a release") {
    for (const auto* mode : {"silent", "busy"}) {
        INFO(mode);
        auto cluster = make_cluster(std::string("turned-away-release-") + mode);
        for (const auto* id : {"d1", "d2"})
            slow_down(cluster, id);
        (void)cluster.store({{"mode", mode}, {"turned_away", {cluster.host_ip(1)}}});
        release(cluster, "v2");
        auto callers = begin(cluster, std::string("away-") + mode);
        REQUIRE(callers.size() >= nine_in_ten);
        resume_at_first(cluster, std::move(callers), nine_tenths);
    }
}

TEST_CASE("no stream is joined from two versions at a host that is cut off during a release") {
    auto cluster = make_cluster("cut-off-release");
    for (const auto* id : {"d1", "d2"})
        slow_down(cluster, id);
    // Neither the store nor another host answers it, before and after the streams begin.
    cluster.host(1).send_signal(SIGSTOP);
    (void)cluster.store({{"mode", "silent"}, {"turned_away", {cluster.host_ip(1)}}});
    release(cluster, "v2");
    auto callers = begin(cluster, "cut");
    REQUIRE(callers.size() >= nine_in_ten);
    for (const int host : {2, 3})
        cluster.host(host).send_signal(SIGSTOP);
    cluster.host(1).send_signal(SIGCONT);
    const std::jthread healing([&] {
        std::this_thread::sleep_for(3s);
        (void)cluster.store({{"mode", ""}});
        for (const int host : {2, 3})
            cluster.host(host).send_signal(SIGCONT);
    });
    resume_at_first(cluster, std::move(callers), 0);
}
