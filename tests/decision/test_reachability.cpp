// SPDX-License-Identifier: BSD-2-Clause
#include <decision/instance_table.h>
#include <decision/reachability.h>

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <set>

using namespace postpaddle;
using namespace std::chrono_literals;
using decision::service_reachability;

namespace {

const base::time_point start = base::time_point{} + 1h;

bool fail(service_reachability& reach, const std::string& instance, base::time_point at,
          std::size_t instances = 4) {
    return record_unconnected(reach, {.instance = {instance}, .started = at - 120ms, .instances = instances},
                              at);
}

decision::instance_table make_table(const std::vector<std::string>& ids) {
    decision::instance_table table;
    for (const std::string& id : ids) {
        settings::upstream_entry entry;
        entry.id = {id};
        entry.service = "plain";
        (void)decision::apply_change(table, {.id = {id}, .entry = entry, .offset = 1},
                                     decision::registry_condition::healthy);
    }
    return table;
}

} // namespace

TEST_CASE(
    "two instances in a row without a connection make a service unreachable, and one connection ends it") {
    service_reachability reach;
    CHECK_FALSE(fail(reach, "one", start));
    CHECK_FALSE(fail(reach, "one", start + 1s));
    CHECK_FALSE(is_unreachable(reach));
    CHECK(fail(reach, "two", start + 2s));
    CHECK(is_unreachable(reach));
    CHECK_FALSE(fail(reach, "three", start + 3s));
    CHECK(record_connected(reach, start + 4s) == decision::suspicion::confirmed);
    CHECK_FALSE(is_unreachable(reach));
    CHECK(record_connected(reach, start + 5s) == decision::suspicion::none);
}

// Guards against two dead instances being tried again and again, as if the links to them had healed.
TEST_CASE("a suspicion that the first further attempt refutes is not confirmed") {
    service_reachability reach;
    (void)fail(reach, "one", start);
    CHECK(fail(reach, "two", start + 1s));
    CHECK(record_connected(reach, start + 2s) == decision::suspicion::unconfirmed);
}

TEST_CASE("a service with one instance is unreachable when that instance is") {
    service_reachability reach;
    CHECK(fail(reach, "only", start, 1));
}

// Guards against a host that lost three of four servers counting as cut off.
TEST_CASE("failures between connections to other instances leave a service reachable") {
    service_reachability reach;
    for (int round = 0; round < 20; ++round) {
        const base::time_point now = start + round * 1s;
        CHECK_FALSE(fail(reach, "one", now));
        (void)record_connected(reach, now + 100ms);
        CHECK_FALSE(fail(reach, "two", now + 300ms));
        (void)record_connected(reach, now + 400ms);
        CHECK_FALSE(fail(reach, "three", now + 600ms));
        (void)record_connected(reach, now + 700ms);
    }
}

TEST_CASE("an attempt that began before a connection succeeded is no evidence") {
    service_reachability reach;
    (void)record_connected(reach, start);
    CHECK_FALSE(fail(reach, "one", start + 100ms));
    CHECK_FALSE(fail(reach, "two", start + 110ms));
    CHECK(reach.unreached.empty());
}

TEST_CASE("instances that failed long ago do not count together with one that fails now") {
    service_reachability reach;
    CHECK_FALSE(fail(reach, "one", start));
    CHECK_FALSE(fail(reach, "two", start + 1min));
}

// Any order of failures and successes at any instances.
TEST_CASE("a service is unreachable only while the last attempts have all failed, at two instances or all") {
    std::mt19937_64 random(17);
    for (int round = 0; round < 2'000; ++round) {
        const std::size_t instances = 1 + random() % 5;
        service_reachability reach;
        std::set<std::size_t> failed_since_success;
        base::time_point now = start;
        for (int step = 0; step < 60; ++step) {
            now += std::chrono::milliseconds(200 + random() % 300);
            if (random() % 4 == 0) {
                (void)record_connected(reach, now);
                failed_since_success.clear();
            } else {
                const std::size_t instance = random() % instances;
                (void)fail(reach, std::to_string(instance), now, instances);
                failed_since_success.insert(instance);
            }
            const std::size_t needed = std::min<std::size_t>(instances, 2);
            if (is_unreachable(reach))
                REQUIRE(failed_since_success.size() >= needed);
            if (failed_since_success.empty())
                REQUIRE_FALSE(is_unreachable(reach));
        }
    }
}

TEST_CASE("a failure without an answer is credible once another connection to the service succeeds") {
    decision::instance_table table = make_table({"one", "two"});
    decision::instance& one = *decision::find_instance(table, {"one"});
    CHECK(is_failure_credible(table, one));
    record_unreached(one, start);
    CHECK_FALSE(is_failure_credible(table, one));
    (void)record_connected(table.reachability["plain"], start - 1s);
    CHECK_FALSE(is_failure_credible(table, one));
    (void)record_connected(table.reachability["plain"], start + 1s);
    CHECK(is_failure_credible(table, one));
}

TEST_CASE("instances that failed only while the links had failed are usable at once when these work again") {
    decision::instance_table table = make_table({"one", "two", "crashing"});
    for (const char* id : {"one", "two"}) {
        decision::instance& known = *decision::find_instance(table, {id});
        record_unreached(known, start);
        record_outcome(known, decision::attempt_outcome::exited, start);
    }
    decision::instance& crashing = *decision::find_instance(table, {"crashing"});
    for (int failure = 0; failure < 3; ++failure)
        record_outcome(crashing, decision::attempt_outcome::failed, start);
    restore_unreached(table, "plain", start - 1s);
    CHECK_FALSE(is_ejected(*decision::find_instance(table, {"one"}), start + 1ms));
    CHECK_FALSE(is_out_of_service(*decision::find_instance(table, {"two"}), start + 1ms));
    CHECK(is_ejected(crashing, start + 1ms));
}
