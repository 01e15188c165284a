// SPDX-License-Identifier: BSD-2-Clause
// Guards against followers missing a change: a leader that received some changes from the other leader must
// not join its own reads before and after them into one run and announce the result as complete.
#include <host/recent_changes.h>

#include <catch2/catch.hpp>

#include <optional>
#include <random>
#include <set>

using namespace postpaddle;
using namespace std::chrono_literals;

namespace {

const base::time_point start{1h};

host::change_run make_run(std::uint64_t since, std::uint64_t next, base::time_point at = start) {
    host::change_run run{.at = at, .since = since, .next = next, .changes = {}};
    for (std::uint64_t offset = since; offset < next; ++offset)
        run.changes.push_back({{"upstream-" + std::to_string(offset)}, std::nullopt, offset});
    return run;
}

} // namespace

TEST_CASE("runs with a gap between them are never joined") {
    host::recent_changes recent;
    host::record_changes(recent, make_run(10, 12));
    host::record_changes(recent, make_run(15, 17));
    const auto resent = host::changes_to_resend(recent, 17, start, 100);
    CHECK(resent.since == 15);
    CHECK(resent.changes.size() == 2);
    // Changes that this host knows beyond its runs are not included.
    CHECK(host::changes_to_resend(recent, 19, start, 100).changes.empty());
    CHECK(host::changes_to_resend(recent, 19, start, 100).since == 19);
}

TEST_CASE("a follower that considers itself up to date knows every change") {
    std::mt19937_64 random(5);
    std::bernoulli_distribution coin(0.5);
    std::uniform_int_distribution<std::uint64_t> few(0, 3);
    struct member {
        std::uint64_t next = 0;
        std::set<std::uint64_t> known;
        host::recent_changes recent;
    };
    enum class recording { recorded, skipped };
    const auto receive = [](member& own, const host::change_run& run, base::time_point now, recording mode) {
        if (own.next < run.since || run.next <= own.next)
            return;
        for (const auto& change : run.changes)
            own.known.insert(change.offset);
        if (mode == recording::recorded)
            host::record_changes(own.recent, {now, own.next, run.next, run.changes});
        own.next = run.next;
    };
    for (int round = 0; round < 200; ++round) {
        std::vector<member> members(4); // The first two read the store; all resend what they know.
        std::uint64_t end = 0;
        base::time_point now = start;
        for (int step = 0; step < 100; ++step) {
            now += 100ms;
            end += few(random);
            for (std::size_t number = 0; number < members.size(); ++number) {
                member& own = members[number];
                if (number < 2 && coin(random))
                    receive(own, make_run(own.next, end, now), now, recording::recorded);
                const auto resent = host::changes_to_resend(own.recent, own.next, now - 500ms, 8);
                for (member& other : members)
                    if (coin(random))
                        receive(other, resent, now, coin(random) ? recording::recorded : recording::skipped);
            }
            for (const member& own : members)
                REQUIRE(own.known.size() == own.next);
        }
    }
}

TEST_CASE("changes are evicted on a host that never resends them") {
    host::recent_changes recent;
    for (std::uint64_t offset = 0; offset < 10'000; ++offset)
        host::record_changes(recent, make_run(offset, offset + 1, start + offset * 100ms));
    CHECK(recent.runs.size() < 1'000);
    CHECK(host::changes_to_resend(recent, 10'000, start + 999s, 100).since == 9'990);
}

TEST_CASE("changes are resent for a limited time and in limited number") {
    host::recent_changes recent;
    host::record_changes(recent, make_run(0, 5, start));
    host::record_changes(recent, make_run(5, 10, start + 1s));
    CHECK(host::changes_to_resend(recent, 10, start, 7).since == 5);
    CHECK(host::changes_to_resend(recent, 10, start, 10).since == 0);
    CHECK(host::changes_to_resend(recent, 10, start + 500ms, 10).since == 5);
}

// Guards against updates that are larger than a datagram and lost as a whole.
TEST_CASE("a run is split into parts without gaps") {
    const auto run = make_run(100, 350);
    const auto parts = host::split_run(run, 64);
    REQUIRE(parts.size() == 4);
    std::uint64_t next = run.since;
    std::size_t changes = 0;
    for (const auto& part : parts) {
        CHECK(part.since == next);
        CHECK(part.changes.size() <= 64);
        next = part.next;
        changes += part.changes.size();
    }
    CHECK(next == run.next);
    CHECK(changes == run.changes.size());
    CHECK(host::split_run(make_run(5, 5), 64).size() == 1);
}

TEST_CASE("a host that asks gets all changes since its offset, or is told that they are not known") {
    host::recent_changes recent;
    host::record_changes(recent, make_run(10, 14));
    host::record_changes(recent, make_run(14, 20));
    const auto since = host::changes_since(recent, 12, 20, 100);
    REQUIRE(since);
    CHECK(since->since == 12);
    CHECK(since->next == 20);
    CHECK(since->changes.size() == 8);
    CHECK(since->changes.front().offset == 12);
    CHECK_FALSE(host::changes_since(recent, 9, 20, 100));
    CHECK_FALSE(host::changes_since(recent, 12, 21, 100));
    CHECK_FALSE(host::changes_since(recent, 12, 20, 7));
    CHECK(host::changes_since(recent, 20, 20, 100)->changes.empty());
}
