// SPDX-License-Identifier: BSD-2-Clause
#include <host/forwarding_peers.h>

#include <catch2/catch.hpp>

#include <map>
#include <random>

using namespace postpaddle;
using namespace std::chrono_literals;
using host::peer_link;

namespace {

const base::time_point now = base::time_point{} + 1h;

host::peer_directory make_directory(int hosts, int zones) {
    host::peer_directory directory;
    for (int number = 0; number < hosts; ++number)
        host::record_contact(directory, {"host-" + std::to_string(number)},
                             "10.0.0." + std::to_string(number) + ":1",
                             {"zone-" + std::to_string(number % zones)}, now);
    return directory;
}

host::forwarding_query make_query(std::set<base::host_id> excluded = {}) {
    return {.service = "plain", .own_zone = {"zone-0"}, .excluded = std::move(excluded), .now = now};
}

base::zone_id zone_of(const host::peer_directory& directory, const host::forwarding_target& target) {
    return directory.by_name.at(target.host).zone;
}

} // namespace

TEST_CASE("a request goes to a host of the own zone, unless that zone can't serve it or must not be used") {
    std::mt19937_64 random(1);
    const auto directory = make_directory(9, 3);
    host::forwarding_peers peers;
    for (int round = 0; round < 20; ++round) {
        const auto target = choose_forwarding_target(directory, peers, make_query(), random);
        REQUIRE(target);
        CHECK(zone_of(directory, *target) == base::zone_id{"zone-0"});
    }
    auto elsewhere = make_query();
    elsewhere.allowed_zones = std::set<base::zone_id>{{"zone-2"}};
    const auto allowed = choose_forwarding_target(directory, peers, elsewhere, random);
    REQUIRE(allowed);
    CHECK(zone_of(directory, *allowed) == base::zone_id{"zone-2"});
    for (const char* cut : {"host-0", "host-3", "host-6"})
        record_peer_link(peers, "plain", {cut}, peer_link::unreachable, now);
    const auto target = choose_forwarding_target(directory, peers, make_query(), random);
    REQUIRE(target);
    CHECK(zone_of(directory, *target) != base::zone_id{"zone-0"});
}

TEST_CASE("hosts that declined, are silent, leave or said that they can't reach the service are not asked") {
    std::mt19937_64 random(2);
    auto directory = make_directory(4, 1);
    host::forwarding_peers peers;
    record_peer_link(peers, "plain", {"host-0"}, peer_link::unreachable, now);
    record_peer_failure(peers, {"host-1"}, now);
    host::record_leaving(directory, {"host-2"});
    const auto target = choose_forwarding_target(directory, peers, make_query(), random);
    REQUIRE(target);
    CHECK(target->host == base::host_id{"host-3"});
    CHECK_FALSE(choose_forwarding_target(directory, peers, make_query({{"host-3"}}), random));
    // Both are asked again after a while, for this service or another one.
    auto later = make_query({{"host-3"}});
    later.now += 3s;
    CHECK(choose_forwarding_target(directory, peers, later, random));
    auto other_service = make_query({{"host-3"}});
    other_service.service = "engines";
    CHECK(choose_forwarding_target(directory, peers, other_service, random));
}

// Guards against requests wandering between all hosts when a service is down for everybody.
TEST_CASE("nobody is asked while many hosts can't reach the service and none does") {
    std::mt19937_64 random(3);
    const auto directory = make_directory(100, 3);
    host::forwarding_peers peers;
    for (int number = 0; number < 8; ++number)
        record_peer_link(peers, "plain", {"host-" + std::to_string(number)}, peer_link::unreachable, now);
    CHECK_FALSE(choose_forwarding_target(directory, peers, make_query(), random));
    record_peer_link(peers, "plain", {"host-50"}, peer_link::reaches, now);
    CHECK(choose_forwarding_target(directory, peers, make_query(), random));
}

// A thousand hosts, of which a third, whole zones among them, reach no upstream: each of these sends its
// requests through others until one takes them, and learns from the answers.
TEST_CASE("requests of hundreds of hosts spread over the hosts that reach the service, within few tries") {
    constexpr int hosts = 999;
    constexpr int zones = 9;
    constexpr std::size_t max_tries = 6;
    std::mt19937_64 random(4);
    const auto directory = make_directory(hosts, zones);
    const bool is_whole_zone = GENERATE(true, false);
    const auto is_cut = [&](int number) { return is_whole_zone ? number % zones < 3 : number % 3 == 0; };
    std::map<base::host_id, int> taken;
    int served = 0;
    int requests = 0;
    int tries = 0;
    for (int own = 0; own < hosts; ++own) {
        if (!is_cut(own))
            continue;
        host::forwarding_peers peers;
        for (int request = 0; request < 10; ++request) {
            ++requests;
            auto query = make_query({{"host-" + std::to_string(own)}});
            query.own_zone = {"zone-" + std::to_string(own % zones)};
            query.now = now + request * 300ms;
            for (std::size_t attempt = 0; attempt < max_tries; ++attempt) {
                const auto target = choose_forwarding_target(directory, peers, query, random);
                if (!target)
                    break;
                ++tries;
                const bool reaches = !is_cut(std::stoi(target->host.value.substr(5)));
                record_peer_link(peers, "plain", target->host,
                                 reaches ? peer_link::reaches : peer_link::unreachable, query.now);
                query.excluded.insert(target->host);
                if (!reaches)
                    continue;
                ++served;
                ++taken[target->host];
                break;
            }
        }
    }
    INFO("tries a request: " << static_cast<double>(tries) / requests);
    CHECK(served >= requests * 99 / 100);
    const double mean = static_cast<double>(served) / (hosts * 2.0 / 3);
    for (const auto& [host, count] : taken)
        REQUIRE(count <= mean * 5 + 10);
}
