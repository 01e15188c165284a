// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/split_model.h>

#include <catch2/catch.hpp>

#include <iostream>

using namespace postpaddle;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t seeds = 60;
constexpr std::uint64_t plan_seeds = 8;

void add(test::return_count& sum, const test::return_count& added) {
    sum.returns += added.returns;
    sum.gone_on += added.gone_on;
}

void add(test::split_result& total, const test::split_result& result, std::uint64_t seed) {
    total.begun += result.begun;
    total.refused += result.refused;
    total.derived += result.derived;
    total.defaulted += result.defaulted;
    total.wrong += result.wrong;
    add(total.named, result.named);
    add(total.unnamed, result.unnamed);
    add(total.named_after_loss, result.named_after_loss);
    add(total.unnamed_after_loss, result.unnamed_after_loss);
    for (const auto& [how, count] : result.named_after_loss_by_begin)
        add(total.named_after_loss_by_begin[how], count);
    for (const std::string& stream : result.wrong_streams)
        total.wrong_streams.push_back("seed " + std::to_string(seed) + ": " + stream);
}

test::split_result run_all(const test::begin_rules& rules) {
    test::split_result total;
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        auto plan = test::make_split_plan(seed);
        plan.rules = rules;
        add(total, test::run_splits(plan, seed), seed);
    }
    return total;
}

void print(const test::split_result& result) {
    std::cout << "begun " << result.begun << ", refused " << result.refused << ", derived " << result.derived
              << ", by default " << result.defaulted << ", named " << result.named.gone_on << " of "
              << result.named.returns << ", unnamed " << result.unnamed.gone_on << " of "
              << result.unnamed.returns << ", after a loss of all hosts: named "
              << result.named_after_loss.gone_on << " of " << result.named_after_loss.returns << ", unnamed "
              << result.unnamed_after_loss.gone_on << " of " << result.unnamed_after_loss.returns
              << ", wrong " << result.wrong << "\n";
    for (std::size_t index = 0; index < result.wrong_streams.size() && index < 2; ++index)
        std::cout << "  " << result.wrong_streams[index] << "\n";
}

/// Several runs of a plan.
test::split_result run_often(const test::split_plan& plan) {
    test::split_result total;
    for (std::uint64_t seed = 0; seed < plan_seeds; ++seed)
        add(total, test::run_splits(plan, seed), seed);
    return total;
}

/// A service with two versions and three hosts.
test::split_plan make_two_versions() {
    return {.hosts = 3, .registry = {{.at = 0s, .slots = {{"v1", 10}, {"v2", 10}}}}};
}

/// All hosts are lost every so often, and with them what they know of streams.
void add_losses_of_all(test::split_plan& plan) {
    for (milliseconds at = 12s; at < plan.length; at += 10s)
        plan.losses.push_back({.begin = at, .end = at + 400ms, .hosts = {0, 1, 2}});
}

// A host that missed a short change of the capacity keeps one split, which the store has replaced.
test::split_plan make_missed_split() {
    auto plan = make_two_versions();
    plan.returning_to = 0;
    plan.registry.push_back({.at = 20s, .slots = {{"v1", 20}, {"v2", 8}}});
    plan.registry.push_back({.at = 20'150ms, .slots = {{"v1", 10}, {"v2", 8}}});
    return plan;
}

// The store doesn't answer one host, which is in charge of some partitions, for longer than splits are kept.
test::split_plan make_host_turned_away() {
    auto plan = make_two_versions();
    plan.registry.push_back({.at = 20s, .slots = {{"v1", 18}, {"v2", 2}}});
    plan.outages.push_back({.begin = 15s, .end = 90s, .hosts = {1}});
    return plan;
}

// The same for two hosts, each of which would write and read through the other.
test::split_plan make_two_hosts_turned_away() {
    auto plan = make_host_turned_away();
    plan.outages.front().hosts = {0, 1};
    return plan;
}

// Only a host that the store doesn't answer sees that a version's engines are gone for a moment.
test::split_plan make_short_restarts() {
    auto plan = make_two_versions();
    plan.streams_per_second = 100;
    plan.outages.push_back({.begin = 15s, .end = plan.length, .hosts = {1}});
    for (milliseconds at = 20s; at < plan.length; at += 10s) {
        plan.registry.push_back({.at = at, .slots = {{"v2", 10}}});
        plan.registry.push_back({.at = at + 150ms, .slots = {{"v1", 10}, {"v2", 10}}});
    }
    return plan;
}

// The store takes records without an answer, and the stream then begins at another version.
test::split_plan make_lost_answers() {
    auto plan = make_two_versions();
    plan.lost_answers = 0.1;
    plan.full = 0.3;
    add_losses_of_all(plan);
    return plan;
}

// A run fails before any event, and its request goes to another host.
test::split_plan make_forwarded_requests() {
    auto plan = make_two_versions();
    plan.full = 0.3;
    plan.failed_runs = 0.3;
    plan.forwarded = 0.5;
    add_losses_of_all(plan);
    return plan;
}

// Hosts start while a version is new, and use it before others know it and a split has it.
test::split_plan make_start_during_release() {
    auto plan = make_two_versions();
    plan.streams_per_second = 100;
    plan.registry = {{.at = 0s, .slots = {{"v1", 10}}}, {.at = 20s, .slots = {{"v1", 10}, {"v2", 10}}}};
    plan.losses.push_back({.begin = 20s, .end = 20'200ms, .hosts = {0, 1, 2}});
    plan.length = 30s;
    return plan;
}

// Hosts start while the store is away and one version has just replaced another.
test::split_plan make_start_without_store() {
    auto plan = make_two_versions();
    plan.streams_per_second = 100;
    plan.registry = {{.at = 0s, .slots = {{"v1", 10}}}, {.at = 20s, .slots = {{"v2", 10}}}};
    plan.outages.push_back({.begin = 20'010ms, .end = 20'800ms});
    plan.losses.push_back({.begin = 20s, .end = 20'100ms, .hosts = {1, 2}});
    plan.length = 30s;
    return plan;
}

// Callers wait for longer than one time limit and the margin.
test::split_plan make_long_waits() {
    auto plan = make_two_versions();
    plan.time_limit = 30s;
    plan.length = 150s;
    plan.full = 0.3;
    return plan;
}

// One version whose capacity changes, with losses of hosts and answers.
test::split_plan make_single_version() {
    test::split_plan plan{.hosts = 3, .registry = {{.at = 0s, .slots = {{"v1", 20}}}}};
    for (milliseconds at = 10s; at < plan.length; at += 10s) {
        plan.registry.push_back({.at = at, .slots = {{"v1", 8}}});
        plan.registry.push_back({.at = at + 3s, .slots = {{"v1", 20}}});
    }
    plan.lost_answers = 0.05;
    plan.late_appends = 0.05;
    plan.failed_runs = 0.05;
    plan.forwarded = 0.3;
    add_losses_of_all(plan);
    return plan;
}

/// The rules under which the model finds no wrong origin.
constexpr test::begin_rules changed_rules = {.is_single_split_confirmed = false,
                                             .may_default_to_later_version = false,
                                             .may_default_on_old_splits = false,
                                             .may_ignore_failed_record = false,
                                             .may_skip_journal = false,
                                             .may_begin_without_splits = false,
                                             .are_records_kept_shorter = false,
                                             .is_forwarding_blind = false};

void check_no_wrong_origin(const test::split_plan& plan) {
    const auto result = run_often(plan);
    print(result);
    CHECK(result.begun > 0);
    CHECK(result.wrong == 0);
}

} // namespace

// Guards against a rule that leaves a way to a wrong origin in any of the plans below.
TEST_CASE("no stream goes on at another version under the changed rules") {
    const auto result = run_all(changed_rules);
    print(result);
    CHECK(result.wrong == 0);
    for (const auto make :
         {make_missed_split, make_host_turned_away, make_two_hosts_turned_away, make_short_restarts,
          make_lost_answers, make_forwarded_requests, make_start_during_release, make_start_without_store,
          make_long_waits, make_single_version}) {
        auto plan = make();
        plan.rules = changed_rules;
        check_no_wrong_origin(plan);
    }
}

// Guards against records and splits that are lost with the hosts. Streams that began while the store was away
// have no record.
TEST_CASE("nine in ten named streams go on after a loss of all hosts if the store is in service") {
    test::split_result total;
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        const auto plan = test::make_split_plan(seed);
        const bool is_store_sound = plan.outages.empty() && plan.lost_answers == 0 && plan.late_appends == 0;
        if (is_store_sound)
            add(total, test::run_splits(plan, seed), seed);
    }
    print(total);
    CHECK(total.named_after_loss.returns > 1'000);
    CHECK(total.named_after_loss.gone_on * 10 >= total.named_after_loss.returns * 9);
}

// Guards against a service that pays for releases while there are none.
TEST_CASE("all streams go on while a service has a single version") {
    const auto result = run_often(make_single_version());
    print(result);
    CHECK(result.wrong == 0);
    CHECK(result.refused == 0);
    CHECK(result.named_after_loss.returns > 1'000);
    CHECK(result.named.gone_on == result.named.returns);
    CHECK(result.unnamed.gone_on == result.unnamed.returns);
}

// Guards against a stream that goes on at another software version after its hosts have gone.
TEST_CASE("no stream goes on at another version through releases, outages and losses of hosts") {
    const auto result = run_all({});
    print(result);
    CHECK(result.begun > 0);
    CHECK(result.wrong == 0);
}

TEST_CASE("no wrong origin if a host has missed a split") { check_no_wrong_origin(make_missed_split()); }

TEST_CASE("no wrong origin if the store doesn't answer one host for long") {
    check_no_wrong_origin(make_host_turned_away());
}

TEST_CASE("no wrong origin if the store doesn't answer two of three hosts for long") {
    check_no_wrong_origin(make_two_hosts_turned_away());
}

TEST_CASE("no wrong origin if a version is gone for a moment where the store doesn't answer") {
    check_no_wrong_origin(make_short_restarts());
}

TEST_CASE("no wrong origin if a record is written without an answer") {
    check_no_wrong_origin(make_lost_answers());
}

TEST_CASE("no wrong origin if a request is forwarded after a failed run") {
    check_no_wrong_origin(make_forwarded_requests());
}

TEST_CASE("no wrong origin if hosts start during a release") {
    check_no_wrong_origin(make_start_during_release());
}

TEST_CASE("no wrong origin if hosts start while the store is away") {
    check_no_wrong_origin(make_start_without_store());
}

TEST_CASE("no wrong origin if callers wait for twice the time limit") {
    check_no_wrong_origin(make_long_waits());
}
