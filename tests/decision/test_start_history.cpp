// SPDX-License-Identifier: BSD-2-Clause
// Guards against an upstream that is used although it left, or not used although it is there, depending on
// the order in which its records arrive or on its clock.
#include <decision/start_history.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace postpaddle;
using decision::start_history;

namespace {

struct record {
    std::uint64_t offset = 0;
    std::uint64_t start_time_ms = 0;
    std::uint64_t sequence = 0;
    bool is_leaving = false;
    bool is_removal = false;
};

start_history fold(const std::vector<record>& records) {
    start_history history;
    for (const record& next : records) {
        settings::upstream_entry entry;
        entry.start_time_ms = next.start_time_ms;
        entry.sequence = next.sequence;
        entry.is_leaving = next.is_leaving;
        if (next.is_removal)
            decision::record_removal(history, next.offset);
        else
            decision::record_entry(history, entry, next.offset);
    }
    return history;
}

std::uint64_t current_of(const std::vector<record>& records) {
    return decision::current_start(fold(records))->start_time_ms;
}

} // namespace

TEST_CASE("the start whose records come later in the log is the current one, whatever its clock says") {
    CHECK(current_of({{1, 500, 4}, {2, 900, 1}}) == 900);
    CHECK(current_of({{1, 900, 4}, {2, 500, 1}}) == 500);
    CHECK(current_of({{1, 900, 4}, {2, 0, 1}}) == 0);
    // An earlier start's record that was written late is no sign of life, as its counter doesn't advance.
    CHECK(current_of({{1, 900, 4}, {2, 500, 1}, {3, 900, 3}}) == 500);
    CHECK(current_of({{1, 900, 4}, {2, 500, 1}, {3, 900, 5}}) == 900);
}

TEST_CASE("a start that left stays so, and doesn't come before the one that followed it") {
    const std::vector<record> left = {{1, 500, 1}, {2, 500, 2, true}, {4, 500, 3}};
    CHECK_FALSE(decision::is_present(fold(left)));
    auto followed = left;
    followed.push_back({3, 400, 1});
    CHECK(decision::is_present(fold(followed)));
    CHECK(current_of(followed) == 400);
}

TEST_CASE("an entry that was removed is there again with a later counter or another start") {
    const record removal = {.offset = 2, .is_removal = true};
    CHECK_FALSE(decision::is_present(fold({{1, 500, 3}, removal})));
    CHECK_FALSE(decision::is_present(fold({{1, 500, 3}, removal, {3, 500, 3}})));
    CHECK(decision::is_present(fold({{1, 500, 3}, removal, {3, 500, 4}})));
    CHECK(decision::is_present(fold({{1, 500, 3}, removal, {3, 400, 1}})));
    CHECK_FALSE(decision::is_present(fold({removal})));
}

TEST_CASE("what is known of an upstream doesn't depend on the order in which its records arrive") {
    std::mt19937_64 random(5);
    const auto between = [&random](std::uint64_t least, std::uint64_t greatest) {
        return std::uniform_int_distribution<std::uint64_t>(least, greatest)(random);
    };
    for (int round = 0; round < 2'000; ++round) {
        std::vector<record> records;
        const std::uint64_t count = between(1, 10);
        for (std::uint64_t offset = 1; offset <= count; ++offset)
            records.push_back({.offset = offset,
                               .start_time_ms = between(0, 3),
                               .sequence = between(1, 4),
                               .is_leaving = between(0, 5) == 0,
                               .is_removal = between(0, 4) == 0});
        const bool has_entry =
            std::ranges::any_of(records, [](const record& next) { return !next.is_removal; });
        const start_history in_order = fold(records);
        std::ranges::shuffle(records, random);
        const start_history shuffled = fold(records);
        INFO("round " << round);
        CHECK(decision::is_present(in_order) == decision::is_present(shuffled));
        CHECK(in_order.removed_at == shuffled.removed_at);
        if (has_entry)
            CHECK(*decision::current_start(in_order) == *decision::current_start(shuffled));
    }
}

TEST_CASE("only the latest starts of an upstream are kept") {
    start_history history;
    settings::upstream_entry entry;
    for (std::uint64_t start = 1; start <= 100; ++start) {
        entry.start_time_ms = 1'000 - start;
        decision::record_entry(history, entry, start);
    }
    CHECK(history.starts.size() == 8);
    CHECK(decision::current_start(history)->start_time_ms == 900);
}
