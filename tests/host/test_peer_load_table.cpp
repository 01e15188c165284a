// SPDX-License-Identifier: BSD-2-Clause
#include <host/peer_directory.h>
#include <host/peer_load_table.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <numeric>
#include <random>

using namespace postpaddle;
using namespace std::chrono_literals;

namespace {

const base::time_point start{1h};

host::load_report make_report(const std::string& name, std::uint64_t sequence, int requests,
                              std::uint64_t incarnation = 1) {
    host::load_report report;
    report.host.value = name;
    report.incarnation = incarnation;
    report.sequence = sequence;
    if (requests > 0)
        report.uses[7] = {requests, requests * 100.0, 0};
    return report;
}

int total_at(const host::peer_load_table& peer_loads, host::instance_key key) {
    const auto found = peer_loads.total.find(key);
    return found == peer_loads.total.end() ? 0 : found->second.requests;
}

} // namespace

TEST_CASE("a newer report replaces an older one, and an older one received late is ignored") {
    host::peer_load_table peer_loads;
    CHECK(host::apply_report(peer_loads, make_report("a", 2, 3), start));
    CHECK_FALSE(host::apply_report(peer_loads, make_report("a", 1, 9), start));
    CHECK(host::apply_report(peer_loads, make_report("b", 1, 4), start));
    CHECK(total_at(peer_loads, 7) == 7);
    CHECK(host::apply_report(peer_loads, make_report("a", 1, 1, 2), start));
    CHECK(total_at(peer_loads, 7) == 5);
}

TEST_CASE(
    "reports of a host restarted with its clock set back are accepted once its old report has expired") {
    host::peer_load_table peer_loads;
    CHECK(host::apply_report(peer_loads, make_report("a", 9, 3, 1'000), start));
    CHECK_FALSE(host::apply_report(peer_loads, make_report("a", 1, 1, 500), start + 1s));
    CHECK(host::apply_report(peer_loads, make_report("a", 2, 1, 500), start + 3s));
    CHECK(total_at(peer_loads, 7) == 1);
    CHECK(host::apply_report(peer_loads, make_report("a", 3, 2, 500), start + 3s));
    CHECK(total_at(peer_loads, 7) == 2);
}

TEST_CASE("a silent host's requests no longer count") {
    host::peer_load_table peer_loads;
    (void)host::apply_report(peer_loads, make_report("a", 1, 3), start);
    CHECK_FALSE(host::expire_silent_hosts(peer_loads, start + 2s));
    CHECK(host::expire_silent_hosts(peer_loads, start + 4s));
    CHECK(total_at(peer_loads, 7) == 0);
    CHECK(host::apply_report(peer_loads, make_report("a", 2, 2), start + 5s));
    CHECK(total_at(peer_loads, 7) == 2);
}

TEST_CASE("avoided instances are counted per host until the report is replaced or expires") {
    host::peer_load_table peer_loads;
    auto report = make_report("a", 1, 0);
    report.avoided = {7, 8};
    (void)host::apply_report(peer_loads, report, start);
    auto other = make_report("b", 1, 0);
    other.avoided = {7};
    (void)host::apply_report(peer_loads, other, start);
    CHECK(peer_loads.avoided_by.at(7) == 2);
    CHECK(peer_loads.avoided_by.at(8) == 1);
    (void)host::apply_report(peer_loads, make_report("a", 2, 0), start);
    CHECK(peer_loads.avoided_by.at(7) == 1);
    CHECK_FALSE(peer_loads.avoided_by.contains(8));
    CHECK(host::expire_silent_hosts(peer_loads, start + 4s));
    CHECK(peer_loads.avoided_by.empty());
}

TEST_CASE("an instance is out of service until the reporting host's next report") {
    host::peer_load_table peer_loads;
    auto report = make_report("a", 1, 0);
    report.avoided = {7};
    report.out_of_service = {7};
    (void)host::apply_report(peer_loads, report, start);
    CHECK(peer_loads.out_of_service_by.contains(7));
    (void)host::apply_report(peer_loads, make_report("a", 2, 0), start);
    CHECK(peer_loads.out_of_service_by.empty());
}

TEST_CASE("totals equal the sum of each host's newest report, in any order of arrival") {
    for (unsigned seed = 1; seed <= 300; ++seed) {
        std::mt19937 random(seed);
        host::peer_load_table peer_loads;
        std::map<std::string, host::load_report> newest;
        for (int step = 0; step < 200; ++step) {
            const std::string name(1, static_cast<char>('a' + random() % 4));
            const auto report =
                make_report(name, 1 + random() % 50, static_cast<int>(random() % 5), 1 + random() % 3);
            (void)host::apply_report(peer_loads, report, start);
            auto& known = newest[name];
            if (std::pair(report.incarnation, report.sequence) > std::pair(known.incarnation, known.sequence))
                known = report;
        }
        int expected = 0;
        for (const auto& [name, report] : newest)
            expected += report.uses.contains(7) ? report.uses.at(7).requests : 0;
        INFO("seed " << seed);
        REQUIRE(total_at(peer_loads, 7) == expected);
    }
}

TEST_CASE("other hosts' waiting requests age between reports") {
    host::peer_load_table peer_loads;
    auto report = make_report("a", 1, 0);
    report.waiters = {{400ms, 5'000}};
    (void)host::apply_report(peer_loads, report, start);
    const auto waiters_ahead = [&peer_loads](base::time_point now) {
        const decision::wait_queue queue(host::all_waiters(peer_loads, now));
        return queue.waiters_ahead({.waited = 300ms, .in_time = 1s});
    };
    CHECK(waiters_ahead(start) == std::vector<decision::waiter>{{400ms, 5'000}});
    // By now the other request is late, and this one is not.
    CHECK(waiters_ahead(start + 950ms).empty());
}

TEST_CASE("memory in use by share counts each host's latest report once and ends with a silent host") {
    host::peer_load_table peer_loads;
    auto report = make_report("a", 1, 0);
    report.share_tokens = {{3, 5'000}, {4, 100}};
    (void)host::apply_report(peer_loads, report, start);
    report = make_report("a", 2, 0);
    report.share_tokens = {{3, 2'000}};
    (void)host::apply_report(peer_loads, report, start);
    report = make_report("b", 1, 0);
    report.share_tokens = {{3, 1'000}};
    (void)host::apply_report(peer_loads, report, start + 2s);
    CHECK(peer_loads.share_total == std::unordered_map<host::share_key, double>{{3, 3'000}});
    (void)host::expire_silent_hosts(peer_loads, start + 4s);
    CHECK(peer_loads.share_total == std::unordered_map<host::share_key, double>{{3, 1'000}});
}

TEST_CASE(
    "a host counts as alive for two minutes after any host saw it, and gossip does not change its address") {
    host::peer_directory directory;
    host::record_contact(directory, {"a"}, "127.0.0.1:1", {}, start);
    host::record_gossip(directory, {"a"}, {.address = "127.0.0.1:9", .zone = {}, .last_seen = start - 5s});
    CHECK(directory.by_name.at({"a"}).address == "127.0.0.1:1");
    // Host b is seen at each of the tested times and counts as alive.
    const auto count_others_at = [&directory](base::time_point now) {
        host::record_contact(directory, {"b"}, "127.0.0.1:2", {}, now);
        return host::count_alive(directory) - 1;
    };
    CHECK(count_others_at(start + 119s) == 1);
    CHECK(count_others_at(start + 121s) == 0);
    host::record_gossip(directory, {"a"}, {.address = "127.0.0.1:9", .zone = {}, .last_seen = start + 25s});
    CHECK(count_others_at(start + 144s) == 1);
    CHECK(count_others_at(start + 146s) == 0);
}

// Guards against an isolated host using the whole of the shared limits.
TEST_CASE("an isolated host keeps counting the hosts that it last saw") {
    host::peer_directory directory;
    host::record_contact(directory, {"long-gone"}, "127.0.0.1:1", {}, start - 10min);
    host::record_contact(directory, {"a"}, "127.0.0.1:2", {}, start - 30s);
    host::record_contact(directory, {"b"}, "127.0.0.1:3", {}, start);
    // Independent of the current time, since no host is seen any more.
    CHECK(host::count_alive(directory) == 2);
}

TEST_CASE("with one heartbeat per second, each of 100 hosts keeps counting all the others") {
    constexpr int hosts = 100;
    constexpr std::size_t named = 16;
    std::mt19937_64 random(1);
    std::vector<host::peer_directory> directories(hosts);
    const auto address = [](int number) { return "10.0.0." + std::to_string(number) + ":1"; };
    const auto name = [](int number) { return base::host_id{"host-" + std::to_string(number)}; };
    for (int number = 0; number < hosts; ++number)
        for (int other = 0; other < hosts; ++other)
            if (other != number)
                host::record_gossip(directories[number], name(other),
                                    {.address = address(other), .zone = {}, .last_seen = start});
    const auto send_heartbeat = [&](int sender, int receiver, base::time_point at) {
        host::record_contact(directories[receiver], name(sender), address(sender), {}, at);
        for (const auto& [other, known] : host::most_recently_seen(directories[sender], named, at))
            if (other != name(receiver))
                host::record_gossip(directories[receiver], other, known);
    };
    std::vector<int> senders(hosts);
    std::iota(senders.begin(), senders.end(), 0);
    base::time_point now = start;
    for (int second = 1; second <= 400; ++second) {
        std::ranges::shuffle(senders, random);
        for (const int sender : senders) {
            now += 1'000'000us / hosts;
            const std::string receiver_address =
                host::sample_peers(directories[sender], 1, now, random).front();
            const int receiver = std::stoi(receiver_address.substr(receiver_address.rfind('.') + 1));
            // The receiver answers with its own state.
            send_heartbeat(sender, receiver, now);
            send_heartbeat(receiver, sender, now);
        }
        for (const auto& directory : directories)
            REQUIRE(host::count_alive(directory) == hosts - 1);
    }
}

TEST_CASE("a seed is contacted while no host is known") {
    std::mt19937_64 random(1);
    host::peer_directory directory;
    directory.seeds = {"127.0.0.1:5"};
    CHECK(host::sample_peers(directory, 2, start, random) == std::vector<std::string>{"127.0.0.1:5"});
}

TEST_CASE("applying a report returns the changed instances and whether slots may be free") {
    host::peer_load_table peer_loads;
    auto report = make_report("a", 1, 2);
    report.uses[8] = {1, 50, 0};
    report.avoided = {9};
    auto change = host::apply_report(peer_loads, report, start);
    REQUIRE(change);
    CHECK(change->keys == std::vector<host::instance_key>{7, 8, 9});
    CHECK_FALSE(change->has_freed_capacity);

    report.sequence = 2;
    report.uses[7].requests = 1;
    change = host::apply_report(peer_loads, report, start);
    REQUIRE(change);
    CHECK(change->keys == std::vector<host::instance_key>{7});
    CHECK(change->has_freed_capacity);

    report.sequence = 3;
    report.avoided = {};
    change = host::apply_report(peer_loads, report, start);
    REQUIRE(change);
    CHECK(change->keys == std::vector<host::instance_key>{9});
    CHECK(change->has_freed_capacity);
}

TEST_CASE("incrementally applied totals equal fully recomputed ones, also for instances added later") {
    std::mt19937_64 random(7);
    std::uniform_int_distribution<int> draw_host(0, 4);
    std::uniform_int_distribution<int> draw_engine(0, 9);
    std::uniform_int_distribution<int> draw_requests(0, 3);
    const auto id_of = [](int engine) { return base::upstream_id{"engine-" + std::to_string(engine)}; };
    decision::instance_table table;
    host::peer_load_table peer_loads;
    for (std::uint64_t step = 1; step <= 500; ++step) {
        if (step % 50 == 1)
            table.by_id[id_of(static_cast<int>(step / 50))];
        host::load_report report;
        report.host.value = "host-" + std::to_string(draw_host(random));
        report.sequence = step;
        for (int use = draw_requests(random); use > 0; --use)
            report.uses[host::key_of(id_of(draw_engine(random)))] = {use, use * 10.0, use * 5.0};
        if (draw_requests(random) == 0)
            report.avoided.push_back(host::key_of(id_of(draw_engine(random))));
        if (draw_requests(random) == 0)
            report.out_of_service.push_back(host::key_of(id_of(draw_engine(random))));
        const auto change = host::apply_report(peer_loads, report, start);
        REQUIRE(change);
        host::apply_sums(table, peer_loads, change->keys);

        decision::instance_table reapplied;
        for (const auto& [id, known] : table.by_id)
            reapplied.by_id[id];
        host::peer_load_table copy = peer_loads;
        host::apply_all_sums(reapplied, copy);
        for (const auto& [id, known] : table.by_id) {
            const decision::instance& expected = reapplied.by_id.at(id);
            REQUIRE(known.others == expected.others);
            REQUIRE(known.avoided_by == expected.avoided_by);
            REQUIRE(known.is_out_of_service_elsewhere == expected.is_out_of_service_elsewhere);
        }
    }
}

TEST_CASE("adding instances one by one gives the same totals as reapplying all") {
    std::mt19937_64 random(9);
    host::peer_load_table peer_loads;
    host::peer_load_table reapplied;
    decision::instance_table table;
    decision::instance_table reapplied_table;
    for (std::uint64_t step = 0; step < 400; ++step) {
        settings::upstream_entry entry;
        entry.id.value = "engine-" + std::to_string(random() % 100);
        entry.stage = settings::engine_stage::decode;
        const decision::registry_change change = {entry.id, entry, step};
        for (auto* each : {&table, &reapplied_table})
            (void)decision::apply_change(*each, change, decision::registry_condition::healthy);
        host::apply_instance_sums(table, peer_loads, entry.id);
        host::apply_all_sums(reapplied_table, reapplied);
        host::load_report report;
        report.host = {"host-" + std::to_string(random() % 5)};
        report.sequence = step;
        report.uses[host::key_of(base::upstream_id{"engine-" + std::to_string(random() % 100)})] = {1, 10, 5};
        const base::time_point now = base::time_point{1h} + step * 10ms;
        for (auto* each : {&peer_loads, &reapplied}) {
            const auto changed = host::apply_report(*each, report, now);
            REQUIRE(changed);
            host::apply_sums(each == &peer_loads ? table : reapplied_table, *each, changed->keys);
        }
        REQUIRE(peer_loads.id_of == reapplied.id_of);
        for (const auto& [id, known] : table.by_id)
            REQUIRE(known.others == reapplied_table.by_id.at(id).others);
    }
}
