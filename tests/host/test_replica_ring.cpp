// SPDX-License-Identifier: BSD-2-Clause
#include <host/replica_ring.h>
#include <support/peer_directories.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>

using namespace postpaddle;
using namespace std::chrono_literals;

namespace {

const base::time_point start{1h};
constexpr std::size_t replicas_told = 3;

} // namespace

TEST_CASE("replicas are in different zones, and only in those that may hold the record") {
    const auto directory = test::make_directory(test::make_hosts(24), 4, start);
    const auto ring = host::make_replica_ring(directory, {"own"});
    std::map<base::host_id, int> chosen;
    std::mt19937_64 random(5);
    for (int round = 0; round < 2'000; ++round) {
        const host::replica_query query = {.key = random(), .now = start};
        const auto replicas = host::choose_replicas(ring, directory, query, replicas_told);
        const auto asked = host::hosts_to_ask(ring, directory, query);
        REQUIRE(replicas.size() == replicas_told);
        std::set<base::zone_id> zones;
        for (const base::host_id& replica : replicas) {
            zones.insert(directory.by_name.at(replica).zone);
            ++chosen[replica];
            REQUIRE(std::ranges::find(asked, replica) != asked.end());
        }
        REQUIRE(zones.size() >= 2);
    }
    CHECK(chosen.size() == 24);
    const host::replica_query limited = {
        .key = 1, .allowed_zones = std::set<base::zone_id>{{"zone-2"}}, .now = start};
    for (const base::host_id& replica : host::choose_replicas(ring, directory, limited, replicas_told))
        CHECK(directory.by_name.at(replica).zone.value == "zone-2");
}
