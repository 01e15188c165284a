// SPDX-License-Identifier: BSD-2-Clause
// Guards against sends on a replica of the registry that is older than the bound.
#include <host/replica_lease.h>
#include <host/replica_model.h>

#include <catch2/catch.hpp>

#include <iostream>

using namespace postpaddle;
using namespace std::chrono_literals;
using host::lease_state;
using test::host_fault;

namespace {

const base::time_point now{1h};
const host::replica_lease_options options = {.bound = 2'000ms, .use_time = 200ms};

host::lease_facts facts_at_age(std::chrono::milliseconds age) {
    return {.known_until = now - age, .is_own_read_failing = true, .other_hosts = 3, .now = now};
}

host::replica_doubt doubt_of(std::set<std::string> asked, std::chrono::milliseconds failing_age) {
    return {.asked = std::move(asked), .unanswered = {{{"other"}, now - failing_age}}, .uninformed = {}};
}

/// Names of the hosts of the model's first cell.
std::vector<base::host_id> first_cell(std::size_t hosts) {
    std::vector<base::host_id> cell;
    for (std::size_t number = 0; number < std::min(hosts, test::replica_plan{}.cell_size); ++number)
        cell.push_back({std::to_string(number)});
    return cell;
}

/// Faults of a tenth of the hosts, and of both leaders of the first cell, that overlap and follow each other.
std::vector<test::fault_span> make_faults(std::size_t hosts, std::mt19937_64& random) {
    std::vector<test::fault_span> faults;
    const auto draw = [&random](int least, int most) {
        return std::uniform_int_distribution<int>(least, most)(random);
    };
    const auto add = [&](std::size_t host) {
        const std::chrono::milliseconds begin(draw(0, 25'000));
        faults.push_back({host, static_cast<host_fault>(draw(0, 5)), begin,
                          begin + std::chrono::milliseconds(draw(500, 9'000))});
    };
    for (std::size_t count = 0; count < std::max<std::size_t>(2, hosts / 10); ++count)
        add(static_cast<std::size_t>(draw(0, static_cast<int>(hosts) - 1)));
    const std::vector<base::host_id> cell = first_cell(hosts);
    for (std::size_t host = 0; host < cell.size(); ++host)
        if (host::position_in(cell, cell[host]).rank < host::leaders_per_cell)
            add(host);
    return faults;
}

} // namespace

TEST_CASE("a lease lapses before the bound, so that what is sent then arrives within it") {
    CHECK(host::state_of(options, {}, facts_at_age(1'799ms)) == lease_state::held);
    CHECK(host::state_of(options, {}, facts_at_age(1'800ms)) == lease_state::lapsed);
}

TEST_CASE("the store counts as lost only if it answers neither this host nor any that it could ask") {
    const auto facts = facts_at_age(3s);
    CHECK(host::state_of(options, doubt_of({"a", "b", "c"}, 100ms), facts) == lease_state::store_outage);
    CHECK(host::state_of(options, doubt_of({"a", "b"}, 100ms), facts) == lease_state::lapsed);
    CHECK(host::state_of(options, doubt_of({"a", "b", "c"}, 2s), facts) == lease_state::lapsed);
    CHECK(host::state_of(options, {.asked = {"a", "b", "c"}, .unanswered = {}, .uninformed = {}}, facts) ==
          lease_state::lapsed);
    auto own_reads = facts;
    own_reads.is_own_read_failing = false;
    CHECK(host::state_of(options, doubt_of({"a", "b", "c"}, 100ms), own_reads) == lease_state::lapsed);
    auto alone = facts;
    alone.other_hosts = 0;
    CHECK(host::state_of(options, {}, alone) == lease_state::store_outage);
}

// Guards against hosts that go on with an old registry although the store only lacks records for them.
TEST_CASE("the store does not count as lost while it answers any host without telling it all that it has") {
    auto doubt = doubt_of({"a", "b", "c"}, 100ms);
    SECTION("this one") {
        host::record_uninformed(doubt, {"own"}, now - 1s);
        CHECK(host::is_uninformed(options, doubt, {"own"}, now));
    }
    SECTION("or another one, which says so") {
        host::record_answer(
            doubt, {.host = {"b"}, .is_read_failing = false, .is_uninformed = true, .received = now - 1s});
    }
    CHECK(host::state_of(options, doubt, facts_at_age(3s)) == lease_state::lapsed);
    // Nor does that end as this host becomes recent for a moment.
    host::end_doubt(doubt);
    CHECK(!doubt.uninformed.empty());
    doubt.asked = {"a", "b", "c"};
    host::record_answer(doubt,
                        {.host = {"a"}, .is_read_failing = true, .is_uninformed = false, .received = now});
    CHECK(host::state_of(options, doubt, facts_at_age(3s)) == lease_state::lapsed);
    doubt.uninformed.begin()->second = now - 2s;
    CHECK(host::state_of(options, doubt, facts_at_age(3s)) == lease_state::store_outage);
}

TEST_CASE("hosts are asked in turn, and again once all have been") {
    host::peer_directory directory;
    for (const auto* name : {"a", "b", "c", "d", "e"})
        directory.by_name[{name}] = {.address = name, .zone = {}, .last_seen = now};
    std::mt19937_64 random(1);
    host::replica_doubt doubt;
    for (int round = 0; round < 3; ++round) {
        const auto chosen = host::hosts_to_ask(doubt, directory, now, random);
        CHECK_FALSE(chosen.empty());
        for (const auto& address : chosen)
            CHECK(doubt.asked.insert(address).second);
    }
    CHECK(doubt.asked.size() == 5);
    CHECK(host::hosts_to_ask(doubt, directory, now, random).size() == 2);
}

TEST_CASE("a message is never taken to have been sent later than it was, however long it took") {
    host::clock_bounds bounds;
    CHECK_FALSE(host::earliest_send(bounds, {"a"}, {1, 100ms}, now));
    // Asked at `now`, answered after 300 ms of which nobody knows how they divide.
    host::record_answer(bounds, {"a"}, {1, 5'000ms}, now, now + 300ms);
    const auto held_up = host::earliest_send(bounds, {"a"}, {1, 6'000ms}, now + 9s);
    REQUIRE(held_up);
    CHECK(*held_up <= now + 1'000ms);
    CHECK(*held_up >= now + 985ms);
    // A slower answer doesn't loosen the bound, a faster one tightens it.
    host::record_answer(bounds, {"a"}, {1, 6'000ms}, now + 200ms, now + 2s);
    CHECK(*host::earliest_send(bounds, {"a"}, {1, 6'000ms}, now + 2s) >= now + 985ms);
    host::record_answer(bounds, {"a"}, {1, 6'000ms}, now + 1'250ms, now + 1'310ms);
    CHECK(*host::earliest_send(bounds, {"a"}, {1, 7'000ms}, now + 2'300ms) >= now + 2'240ms);
    // Another process of the host has another clock.
    CHECK_FALSE(host::earliest_send(bounds, {"a"}, {2, 1'000ms}, now));
}

TEST_CASE("drifting clocks never make a message seem sent later than it was") {
    host::clock_bounds bounds;
    host::record_answer(bounds, {"a"}, {1, 0ms}, now, now + 2ms);
    for (int second = 0; second < 20'000; ++second) {
        // The sender's clock gains 0.1 ms a second.
        const std::chrono::milliseconds stamp(second * 1'000 + second / 10);
        const base::time_point sent = now + std::chrono::seconds(second);
        const auto bound = host::earliest_send(bounds, {"a"}, {1, stamp}, sent);
        REQUIRE(bound);
        REQUIRE(*bound <= sent);
    }
}

TEST_CASE("no host sends on a replica older than the bound, whatever happens to readers") {
    for (const std::size_t hosts : {6UL, 300UL, 1'000UL, 2'000UL}) {
        std::mt19937_64 random(hosts);
        test::replica_plan plan{.hosts = hosts, .length = hosts > 300 ? 12'000ms : 30'000ms, .loss = 0.01};
        plan.faults = make_faults(hosts, random);
        const auto result = test::run_replicas(plan, hosts);
        INFO(hosts << " hosts: " << result.sends << " sends, " << result.refusals << " refusals, oldest "
                   << result.oldest.count() << " ms");
        CHECK(result.late_sends == 0);
        CHECK(result.sends > 0);
    }
}

TEST_CASE("no host sends on a replica older than the bound while the store is slow or fails in part") {
    const std::vector<test::replica_plan> plans = {
        {.hosts = 100, .min_answer = 100ms, .max_answer = 600ms},
        {.hosts = 100, .min_answer = 300ms, .max_answer = 900ms},
        {.hosts = 100, .refused = 0.3},
        {.hosts = 100, .unanswered = 0.3},
        {.hosts = 100, .loss = 0.3},
        {.hosts = 100, .changes_per_record = 130, .message_seconds = 0.001},
    };
    for (test::replica_plan plan : plans)
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            std::mt19937_64 random(seed);
            plan.faults = make_faults(plan.hosts, random);
            const auto result = test::run_replicas(plan, seed);
            INFO("plan " << plan.max_answer.count() << " " << plan.refused << " " << plan.unanswered << " "
                         << plan.loss << " seed " << seed << ": " << result.sends << " sends, "
                         << result.refusals << " refusals, oldest " << result.oldest.count() << " ms");
            CHECK(result.late_sends == 0);
        }
}

TEST_CASE("hosts go on sending while the store is down for all of them") {
    for (const std::size_t hosts : {6UL, 100UL}) {
        const test::replica_plan plan{.hosts = hosts, .outages = {{10'000ms, 22'000ms}}};
        const auto result = test::run_replicas(plan, 1);
        INFO(hosts << " hosts: " << result.sends << " sends, " << result.refusals << " refusals, oldest "
                   << result.oldest.count() << " ms");
        CHECK(result.late_sends == 0);
        CHECK(result.refusals * 100 < result.sends);
    }
}

// Prints the figures of docs/design/0029; run by hand with the tag.
TEST_CASE("figures of replicas with and without leases", "[.][figures]") {
    struct way {
        const char* name;
        bool asks_others;
        bool has_lease;
    };
    const std::vector<way> ways = {{"as before", false, false},
                                   {"asking only", true, false},
                                   {"lease only", false, true},
                                   {"both", true, true}};
    struct condition {
        const char* name;
        test::replica_plan plan;
    };
    const std::vector<condition> conditions = {
        {"calm", {}},
        {"faults", {.loss = 0.01}},
        {"faults, store answers after 300 to 900 ms", {.min_answer = 300ms, .max_answer = 900ms}},
        {"faults, three in ten reads unanswered", {.unanswered = 0.3}},
        {"faults, 320 changes a second", {.loss = 0.01, .changes_per_record = 130}},
        {"store down 12 s", {.outages = {{10'000ms, 22'000ms}}}},
    };
    for (const std::size_t hosts : {6UL, 300UL, 1'000UL, 2'000UL})
        for (const condition& tried : conditions)
            for (const way& used : ways) {
                test::replica_plan plan = tried.plan;
                plan.hosts = hosts;
                plan.asks_others = used.asks_others;
                plan.has_lease = used.has_lease;
                std::mt19937_64 random(hosts);
                if (std::string(tried.name).starts_with("faults"))
                    plan.faults = make_faults(hosts, random);
                const auto result = test::run_replicas(plan, 1);
                std::cout << hosts << " | " << tried.name << " | " << used.name << " | sends " << result.sends
                          << " late " << result.late_sends << " oldest " << result.oldest.count()
                          << " ms refused " << result.refusals << " reads " << result.store_reads
                          << " bytes/host/s " << static_cast<int>(result.bytes_per_host_second) << std::endl;
            }
}
