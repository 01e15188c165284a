// SPDX-License-Identifier: BSD-2-Clause
#include <decision/departed_starts.h>

#include <catch2/catch.hpp>

using namespace postpaddle;
using namespace std::chrono_literals;

namespace {

const base::time_point start{std::chrono::hours(1)};
const base::upstream_id id{"upstream"};
constexpr std::uint64_t start_time_ms = 1'000;

/// Tombstone of a start whose newest record is at offset 10, with the heartbeat counter 5.
decision::departed_starts make_departed() {
    decision::departed_starts departed;
    decision::record_departed(
        departed, id,
        {.history =
             {.starts = {{.start_time_ms = start_time_ms, .sequence = 5, .offset = 10, .is_leaving = true}},
              .removed_at = {}},
         .offset = 10});
    return departed;
}

std::optional<settings::upstream_entry> make_entry(std::uint64_t started, std::uint64_t sequence) {
    settings::upstream_entry entry;
    entry.id = id;
    entry.start_time_ms = started;
    entry.sequence = sequence;
    return entry;
}

bool is_departed(decision::departed_starts& departed, const std::optional<settings::upstream_entry>& entry,
                 std::uint64_t offset) {
    return !decision::try_restore(departed, {.id = id, .entry = entry, .offset = offset});
}

} // namespace

TEST_CASE("a tombstone outlives records that come late and is dropped after its lifetime") {
    auto departed = make_departed();
    decision::drop_old(departed, start);
    decision::drop_old(departed, start + 59min);
    CHECK(departed.by_id.contains(id));
    decision::drop_old(departed, start + 60min);
    CHECK_FALSE(departed.by_id.contains(id));
}

// Guards against searches whose cost grows with each change of the registry.
TEST_CASE("tombstones are searched for old ones once a minute at most") {
    auto departed = make_departed();
    decision::drop_old(departed, start);
    decision::record_departed(departed, {"later"}, {});
    decision::drop_old(departed, start + 59s);
    CHECK_FALSE(departed.by_id.at({"later"}).met_at);
    decision::drop_old(departed, start + 60s);
    CHECK(departed.by_id.at({"later"}).met_at == start + 60s);
}

TEST_CASE("a start that announced its shutdown stays departed whatever it writes afterwards") {
    auto departed = make_departed();
    CHECK(is_departed(departed, make_entry(start_time_ms, 6), 11));
    CHECK(is_departed(departed, std::nullopt, 12));
    CHECK(departed.by_id.at(id).offset == 12);
}

TEST_CASE("an entry that only lapsed is there again with a later heartbeat, not with an earlier one") {
    decision::departed_starts departed;
    decision::record_departed(
        departed, id,
        {.history = {.starts = {{.start_time_ms = start_time_ms, .sequence = 5, .offset = 9}},
                     .removed_at = 10},
         .offset = 10});
    CHECK(is_departed(departed, make_entry(start_time_ms, 5), 11));
    CHECK(is_departed(departed, make_entry(start_time_ms, 6), 10));
    CHECK_FALSE(is_departed(departed, make_entry(start_time_ms, 7), 12));
    CHECK(departed.by_id.empty());
}

// Guards against starts that are ordered by the upstream's clock, which may have been set back.
TEST_CASE(
    "a start whose records come later in the log is there, whatever its start time, an earlier one isn't") {
    for (const std::uint64_t other_start : {start_time_ms + 1, start_time_ms - 1, std::uint64_t{0}}) {
        INFO(other_start);
        auto departed = make_departed();
        CHECK(is_departed(departed, make_entry(other_start, 1), 9));
        const auto* const current = decision::current_start(departed.by_id.at(id).history);
        CHECK(current->start_time_ms == start_time_ms);
        CHECK(current->is_leaving);
        CHECK_FALSE(is_departed(departed, make_entry(other_start + 2, 1), 11));
    }
}
