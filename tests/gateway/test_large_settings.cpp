// SPDX-License-Identifier: BSD-2-Clause
// Settings that have grown large, behind slow links.
//
// Seen: hosts answered 404 for a route that a confirmed version had added, up to 5 s after its confirmation.
// The settings had grown to several thousand routes, and the late hosts' links were full for ten seconds.
// How it came about: a version took longer to arrive than a read of the store was given for its whole answer.
// The read was given up halfway, and short ones began every half second beside those still open; each brought
// the version anew, so that all of them took longer still.
// Cause: a limit on the whole answer, where only silence tells that nothing comes, and reads begun again
// without regard to what was on its way.
// What proved it: this test on the code as it was. The version was sent to the host again and again.
#include <support/gateway_cluster.h>
#include <support/test_cluster.h>

#include <catch2/catch.hpp>

using namespace postpaddle;

namespace {

/// Some 300 KB of settings.
constexpr int many_routes = 1'500;
/// They take some 2.5 s to arrive at this rate: longer than the bound for settings and than any limit on a
/// read of a store that answers.
constexpr int slow_link = 120'000;

} // namespace

TEST_CASE("a version that is long on its way to a host is sent to it once") {
    test::gateway_cluster cluster(
        {.name = "long-way", .servers = {{.id = "one"}}, .store_bytes_per_s = slow_link});
    const std::uint64_t before = cluster.bytes_from_store(1);
    const std::size_t size = cluster.publish_grown(2, many_routes);
    REQUIRE(test::eventually([&] { return version_at(cluster, 1) == 2; }));
    // The rest is reads that bring nothing. A host that is starved of processor time may begin a second time.
    CHECK(cluster.bytes_from_store(1) - before < 2 * size);
    cluster.publish(3, true);
    CHECK(test::eventually([&] { return version_at(cluster, 1) == 3; }));
}

TEST_CASE("a host that starts reads settings that are long on their way") {
    test::gateway_cluster cluster(
        {.name = "long-start", .servers = {{.id = "one"}}, .hosts = 0, .store_bytes_per_s = slow_link});
    const std::size_t size = cluster.publish_grown(2, many_routes);
    cluster.start_host(1);
    REQUIRE(test::eventually([&] { return cluster.is_ready(1); }));
    // The newest records come as text of four thirds of their size.
    CHECK(cluster.bytes_from_store(1) < 3 * size);
}
