// SPDX-License-Identifier: BSD-2-Clause
// Guards against requests to upstreams that are known to leave: a record that was overtaken on its way, or
// written late, must not list such an upstream again, however many upstreams there are.
#include <decision/instance_table.h>
#include <decision/placement.h>

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <set>

using namespace postpaddle;
using decision::listing;
using decision::registry_condition;

namespace {

const base::time_point now{std::chrono::hours(1)};

/// Number of upstreams above which the table keeps no full entries of those that left.
constexpr int many = 600;
constexpr std::size_t log_size = 1'800;

settings::upstream_entry make_entry(int number, std::uint64_t sequence, bool is_leaving = false) {
    settings::upstream_entry entry;
    entry.id.value = "upstream-" + std::to_string(number);
    entry.service = "service";
    entry.address = "127.0.0.1:1";
    entry.sequence = sequence;
    entry.start_time_ms = 1'000;
    entry.is_leaving = is_leaving;
    return entry;
}

decision::registry_change make_change(const settings::upstream_entry& entry, std::uint64_t offset) {
    return {entry.id, entry, offset};
}

void apply(decision::instance_table& table, const decision::registry_change& change) {
    (void)decision::apply_change(table, change, registry_condition::healthy);
    decision::remove_gone(table);
}

decision::instance_table make_table() {
    decision::instance_table table;
    for (int number = 0; number < many; ++number)
        apply(table, make_change(make_entry(number, 1), static_cast<std::uint64_t>(number)));
    return table;
}

bool is_listed(decision::instance_table& table, const base::upstream_id& id) {
    const decision::instance* const known = decision::find_instance(table, id);
    return known != nullptr && (known->state == listing::listed || known->state == listing::unlisted);
}

/// A registry in which upstreams register, write heartbeats, announce that they leave, disappear, start
/// again, and write once more, late.
std::vector<decision::registry_change> make_log(std::mt19937_64& random) {
    std::uniform_int_distribution<int> any_upstream(0, many - 1);
    std::uniform_int_distribution<int> any_event(0, 6);
    // Clocks may be set back or forward between two starts.
    std::uniform_int_distribution<std::uint64_t> any_start_time(0, 1'000'000);
    std::vector<decision::registry_change> log;
    log.reserve(log_size);
    for (int number = 0; number < many; ++number)
        log.push_back(make_change(make_entry(number, 1), log.size()));
    std::vector<settings::upstream_entry> newest;
    newest.reserve(many);
    for (const decision::registry_change& change : log)
        newest.push_back(*change.entry);
    while (log.size() < log_size) {
        settings::upstream_entry& entry = newest.at(static_cast<std::size_t>(any_upstream(random)));
        const int event = any_event(random);
        if (event == 0) {
            log.push_back({entry.id, std::nullopt, log.size()});
            continue;
        }
        if (event == 6) {
            entry.start_time_ms = any_start_time(random);
            entry.sequence = 0;
        }
        if (event != 1)
            ++entry.sequence;
        entry.is_leaving = event == 4 || event == 5;
        log.push_back(make_change(entry, log.size()));
    }
    return log;
}

} // namespace

TEST_CASE("an upstream that is known to leave is not listed again by a record that was overtaken") {
    auto table = make_table();
    apply(table, make_change(make_entry(7, 2, true), 1'000));
    apply(table, make_change(make_entry(7, 1), 900));
    CHECK_FALSE(is_listed(table, {"upstream-7"}));
    // Nor by a heartbeat that was written late.
    apply(table, make_change(make_entry(7, 3), 1'100));
    CHECK_FALSE(is_listed(table, {"upstream-7"}));
}

TEST_CASE("an upstream whose entry has gone is not listed again by a record that was overtaken") {
    auto table = make_table();
    apply(table, {{"upstream-7"}, std::nullopt, 1'000});
    apply(table, make_change(make_entry(7, 1), 900));
    CHECK_FALSE(is_listed(table, {"upstream-7"}));
    apply(table, make_change(make_entry(7, 1), 1'100));
    CHECK_FALSE(is_listed(table, {"upstream-7"}));
    // It only lapsed, as it lives and writes on.
    apply(table, make_change(make_entry(7, 2), 1'200));
    CHECK(is_listed(table, {"upstream-7"}));
}

// Guards against a host that hears of an upstream for the first time as its entry goes, for example after a
// restart.
TEST_CASE("an upstream that was unknown when its entry went is not listed by a record that was overtaken") {
    decision::instance_table table;
    apply(table, {{"upstream-7"}, std::nullopt, 1'000});
    apply(table, make_change(make_entry(7, 1), 900));
    CHECK_FALSE(is_listed(table, {"upstream-7"}));
    // It writes on.
    apply(table, make_change(make_entry(7, 2), 1'200));
    CHECK(is_listed(table, {"upstream-7"}));
}

TEST_CASE("a later start of an upstream that left is listed") {
    auto table = make_table();
    apply(table, make_change(make_entry(7, 2, true), 1'000));
    auto later = make_entry(7, 1);
    later.start_time_ms = 2'000;
    apply(table, make_change(later, 1'100));
    CHECK(is_listed(table, {"upstream-7"}));
    // The earlier start's late records don't count any more.
    apply(table, make_change(make_entry(7, 9, true), 1'200));
    CHECK(is_listed(table, {"upstream-7"}));
}

// Guards against an upstream whose word that it leaves is dropped, as its clock was set back between two
// starts.
TEST_CASE("a start with an earlier, an equal or no start time leaves by its own word") {
    for (const std::uint64_t second_start : {500, 1'000, 0}) {
        INFO(second_start);
        auto table = make_table();
        auto second = make_entry(7, 1);
        second.start_time_ms = second_start;
        apply(table, make_change(second, 1'000));
        CHECK(is_listed(table, {"upstream-7"}));
        second.sequence = 2;
        second.is_leaving = true;
        apply(table, make_change(second, 1'100));
        CHECK_FALSE(is_listed(table, {"upstream-7"}));
        // Neither start lists it again by a record that was overtaken or written late.
        second.is_leaving = false;
        apply(table, make_change(second, 1'050));
        apply(table, make_change(make_entry(7, 1), 1'200));
        CHECK_FALSE(is_listed(table, {"upstream-7"}));
    }
}

TEST_CASE(
    "an upstream that announced its shutdown after its entry went is not listed again by a late heartbeat") {
    decision::instance_table table;
    apply(table, make_change(make_entry(7, 1), 1));
    apply(table, {{"upstream-7"}, std::nullopt, 2});
    CHECK(decision::record_leaving(*decision::find_instance(table, {"upstream-7"}), now));
    apply(table, make_change(make_entry(7, 2), 3));
    CHECK_FALSE(is_listed(table, {"upstream-7"}));
    auto later = make_entry(7, 1);
    later.start_time_ms = 10;
    apply(table, make_change(later, 4));
    CHECK(is_listed(table, {"upstream-7"}));
}

TEST_CASE("in any order of records, a start that was known to leave is never listed again") {
    std::mt19937_64 random(7);
    for (int round = 0; round < 20; ++round) {
        const auto log = make_log(random);
        decision::instance_table table;
        std::set<std::pair<base::upstream_id, std::uint64_t>> known_to_leave; ///< With their start times.
        std::map<base::upstream_id, std::uint64_t> gone_at; ///< Offset of the last removal that was received.
        std::map<base::upstream_id, std::uint64_t> entered_at; ///< Likewise of the last entry.
        std::uniform_int_distribution<std::size_t> any_offset(0, log.size() - 1);
        std::uniform_int_distribution<std::size_t> any_length(1, 40);
        // Runs of records arrive in any order and repeatedly, as from reads and updates that overtake each
        // other.
        for (int run = 0; run < 300; ++run) {
            const std::size_t first = any_offset(random);
            const std::size_t end = std::min(log.size(), first + any_length(random));
            for (std::size_t offset = first; offset < end; ++offset) {
                const decision::registry_change& change = log[offset];
                apply(table, change);
                if (change.entry && change.entry->is_leaving)
                    known_to_leave.emplace(change.id, change.entry->start_time_ms);
                std::uint64_t& last = (change.entry ? entered_at : gone_at)[change.id];
                last = std::max(last, change.offset);
            }
            for (const auto& [id, offset] : gone_at) {
                INFO("round " << round << " run " << run << " " << id.value << " gone at " << offset);
                REQUIRE_FALSE((entered_at[id] < offset && is_listed(table, id)));
            }
            for (const auto& [id, start_time_ms] : known_to_leave) {
                INFO("round " << round << " run " << run << " " << id.value << " started " << start_time_ms);
                REQUIRE_FALSE(
                    (is_listed(table, id) && table.by_id.at(id).entry.start_time_ms == start_time_ms));
            }
        }
    }
}

// Guards against a request that waited while its upstream's entry went: the last look before the send refuses
// it.
TEST_CASE("nothing is sent to an upstream whose registry entry has gone since it was chosen") {
    decision::instance_table table;
    apply(table, make_change(make_entry(1, 1), 1));
    const decision::instance& chosen = *decision::find_instance(table, {"upstream-1"});
    CHECK(decision::check_placement(table, {}, chosen, now) == decision::placement_verdict::allowed);
    CHECK_FALSE(decision::is_withdrawn(table, chosen));
    apply(table, {{"upstream-1"}, std::nullopt, 2});
    CHECK(decision::check_placement(table, {}, chosen, now) == decision::placement_verdict::gone);
    CHECK(decision::is_withdrawn(table, chosen));
    CHECK_FALSE(decision::next_placement_time(table, {}, chosen, now));
}
