// SPDX-License-Identifier: BSD-2-Clause
#include <decision/admission.h>
#include <decision/wait_queue.h>
#include <decision/waiting_model.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace postpaddle;
using namespace std::chrono_literals;
using decision::local_waiter;
using decision::waiter;

namespace {

std::chrono::milliseconds draw_ms(std::mt19937& random, unsigned limit) {
    return std::chrono::milliseconds(random() % limit);
}

/// A whole number below the limit.
double draw_number(std::mt19937& random, unsigned limit) { return static_cast<double>(random() % limit); }

std::vector<waiter> draw_waiters(std::mt19937& random) {
    std::vector<waiter> waiters(random() % 60);
    for (waiter& one : waiters) {
        one = {draw_ms(random, 3'000), 100 * draw_number(random, 50), draw_ms(random, 1'500),
               static_cast<int>(random() % 16), static_cast<std::uint32_t>(random() % 6)};
        // Hosts of an earlier version report none of these.
        if (random() % 4 == 0)
            one = {one.waited, one.memory_tokens};
    }
    return waiters;
}

decision::wait_order draw_order(std::mt19937& random) {
    decision::wait_order order = {
        .by_rank = random() % 2 == 0, .by_share = random() % 2 == 0, .unreported_rank = 7};
    for (std::uint32_t key = 0; key < 4; ++key)
        order.shares.in_use[key] = draw_number(random, 20'000);
    order.shares.level = draw_number(random, 20'000);
    return order;
}

local_waiter to_local(const waiter& other) {
    return {.waited = other.waited,
            .in_time = other.in_time.value_or(base::duration{}),
            .memory_tokens = other.memory_tokens,
            .rank = other.rank,
            .share_key = other.share_key};
}

/// Three streaming routes of one service, as in docs/OVERLOAD.md, on slots for 115 requests per second.
test::waiting_model_options competing_routes(unsigned seed) {
    return {.seed = seed,
            .slots = 115,
            .kinds = {{.rank = 0, .latency_target = 800ms, .per_second = 21},
                      {.rank = 1, .latency_target = 1'000ms, .per_second = 62},
                      {.rank = 2, .latency_target = 2'000ms, .per_second = 32}},
            .by_share = false};
}

} // namespace

TEST_CASE("without different priorities or organisations, requests are ordered by age as before") {
    for (unsigned seed = 0; seed < 300; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        const auto waiters = draw_waiters(random);
        const decision::wait_queue queue(waiters);
        const local_waiter own = {.waited = draw_ms(random, 2'000),
                                  .in_time = draw_ms(random, 1'500),
                                  .memory_tokens = 4'000,
                                  .rank = static_cast<int>(random() % 16),
                                  .share_key = 3};
        std::vector<waiter> expected;
        std::ranges::copy_if(waiters, std::back_inserter(expected), [&](const waiter& other) {
            return decision::precedes(other.waited, own.waited, own.in_time);
        });
        const auto ahead = queue.waiters_ahead(own);
        REQUIRE(queue.count_ahead(own) == expected.size());
        REQUIRE(ahead.size() == expected.size());
        REQUIRE(std::ranges::is_sorted(ahead, [&](const waiter& left, const waiter& right) {
            return decision::precedes(left.waited, right.waited, own.in_time);
        }));
    }
}

TEST_CASE("shares go first, then requests in time by their own targets, then ranks, then ages") {
    // Best first; each one differs from the next in the rule that decides.
    const std::vector<waiter> in_order = {{500ms, 1'000, 600ms, 0, 1},   {100ms, 1'000, 600ms, 0, 1},
                                          {700ms, 1'000, 900ms, 2, 1},   {600ms, 1'000, 900ms, 2, 1},
                                          {2'000ms, 1'000, 600ms, 0, 1}, {700ms, 1'000, 600ms, 0, 1},
                                          {400ms, 1'000, 600ms, 0, 2},   {300ms, 1'000, 600ms, 1, 2}};
    const decision::wait_order order = {
        .by_rank = true, .by_share = true, .shares = {.in_use = {{1, 10'000}, {2, 60'000}}, .level = 50'000}};
    for (unsigned seed = 0; seed < 20; ++seed) {
        auto shuffled = in_order;
        std::ranges::shuffle(shuffled, std::mt19937(seed));
        const decision::wait_queue queue(shuffled, order);
        for (std::size_t index = 0; index < in_order.size(); ++index) {
            const local_waiter own = to_local(in_order[index]);
            REQUIRE(queue.count_ahead(own) == index);
            REQUIRE(queue.waiters_ahead(own) == std::vector(in_order.begin(), in_order.begin() + index));
        }
    }
}

TEST_CASE("the order of waiting requests is a strict weak order that all hosts compute alike") {
    for (unsigned seed = 0; seed < 300; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        auto waiters = draw_waiters(random);
        const decision::wait_order order = draw_order(random);
        const decision::wait_queue queue(waiters, order);
        std::ranges::shuffle(waiters, random);
        const decision::wait_queue other_host(waiters, order);
        for (const waiter& one : waiters) {
            const local_waiter own = to_local(one);
            const auto ahead = queue.waiters_ahead(own);
            REQUIRE(queue.count_ahead(own) == ahead.size());
            REQUIRE(other_host.count_ahead(own) == ahead.size());
            REQUIRE(queue.position_of(own) == other_host.position_of(own));
            if (order.is_by_age() || !one.in_time)
                continue;
            // Irreflexive, and transitive: who is ahead of one that is ahead is ahead, too.
            REQUIRE(std::ranges::count(ahead, one) == 0);
            for (const waiter& before : ahead)
                if (before.in_time)
                    REQUIRE(queue.position_of(to_local(before)) < queue.position_of(own));
        }
    }
}

TEST_CASE("a free slot is never kept from a request with nobody ahead, and the head of the queue is woken") {
    for (unsigned seed = 0; seed < 300; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        auto waiters = draw_waiters(random);
        std::erase_if(waiters, [](const waiter& one) { return !one.in_time; });
        if (waiters.empty())
            continue;
        const decision::wait_order order = draw_order(random);
        std::vector<local_waiter> own;
        for (const waiter& one : waiters) {
            own.push_back(to_local(one));
            // The order by age is one order only for requests with the same target.
            if (order.is_by_age())
                own.back().in_time = 700ms;
        }
        const decision::wait_queue queue(waiters, order);
        const auto next = decision::head_of_queue(queue, own, 1, 8);
        REQUIRE_FALSE(next.empty());
        REQUIRE(queue.count_ahead(own[next.front()]) == 0);
        REQUIRE(decision::admit_to_engines({.has_room = true, .waited = 1s, .max_wait = 2s}) ==
                decision::admission::start);
    }
}

TEST_CASE("a returning caller goes before new callers of its rank, also if its first attempt was long ago") {
    const decision::waiting_facts returned = {.age = 2'500ms,
                                              .waited = 100ms,
                                              .in_time = 500ms,
                                              .latency_target = 800ms,
                                              .max_wait = 2'400ms,
                                              .rank = 2};
    const decision::waiting_facts fresh = {.age = 400ms,
                                           .waited = 400ms,
                                           .in_time = 500ms,
                                           .latency_target = 800ms,
                                           .max_wait = 2'400ms,
                                           .rank = 2};
    const decision::wait_queue queue({}, {.by_rank = true});
    const auto position = [&queue](decision::waiting_facts facts, int rank) {
        facts.rank = rank;
        return queue.position_of(decision::make_local_waiter(facts));
    };
    CHECK(position(returned, 2) < position(fresh, 2));
    // But not before more urgent ones.
    CHECK(position(fresh, 1) < position(returned, 2));
    // Who returns early stays behind those whose first attempt is older.
    decision::waiting_facts early = returned;
    early.age = 900ms;
    CHECK(position(returned, 2) < position(early, 2));
}

TEST_CASE("a request that has waited for half of its maximum wait is not overtaken by any newer one") {
    for (unsigned seed = 0; seed < 300; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        const auto draw = [&random](base::duration waited) {
            const base::duration target = 1ms + draw_ms(random, 2'000);
            return decision::waiting_facts{.age = waited,
                                           .waited = waited,
                                           .in_time = draw_ms(random, 1'500),
                                           .latency_target = target,
                                           .max_wait = decision::max_slot_wait(target, 14s),
                                           .memory_tokens = 4'000,
                                           .rank = static_cast<int>(random() % 16)};
        };
        decision::waiting_facts old = draw(0ms);
        old.age = old.waited = old.max_wait / 2;
        const local_waiter own = decision::make_local_waiter(old);
        static constexpr int newer_count = 30;
        std::vector<waiter> newer;
        newer.reserve(newer_count);
        for (int count = 0; count < newer_count; ++count)
            newer.push_back(decision::to_waiter(decision::make_local_waiter(
                draw(draw_ms(random, static_cast<unsigned>(std::max<std::int64_t>(1, old.waited / 1ms)))))));
        REQUIRE(decision::wait_queue(newer, {.by_rank = true}).count_ahead(own) == 0);
    }
}

TEST_CASE("reports of an earlier version rank in the middle and by the receiver's own latency target") {
    const std::vector<waiter> waiters = {{300ms, 1'000}, {700ms, 1'000}};
    const decision::wait_queue queue(waiters, {.by_rank = true, .unreported_rank = 1});
    CHECK(queue.count_ahead({.waited = 100ms, .in_time = 500ms, .rank = 0}) == 0);
    CHECK(queue.count_ahead({.waited = 100ms, .in_time = 500ms, .rank = 1}) == 1);
    CHECK(queue.count_ahead({.waited = 100ms, .in_time = 900ms, .rank = 1}) == 2);
    CHECK(queue.count_ahead({.waited = 900ms, .in_time = 500ms, .rank = 2}) == 2);
}

namespace {

/// Outcomes of the competing routes at twice their usual load.
std::vector<test::kind_outcome> run_overload_of_all_routes(unsigned seed) {
    auto options = competing_routes(seed);
    for (test::request_kind& kind : options.kinds)
        kind.per_second *= 2;
    return test::waiting_model(options).run(20s);
}

} // namespace

TEST_CASE("in an overload of all routes, the most urgent one is served first and no route is starved") {
    for (unsigned seed = 0; seed < 3; ++seed) {
        INFO("seed " << seed);
        int callers = 0;
        int served = 0;
        const auto outcomes = run_overload_of_all_routes(seed);
        for (const test::kind_outcome& outcome : outcomes) {
            callers += outcome.callers;
            served += outcome.served;
        }
        CHECK(outcomes[0].served_fraction() > 0.85);
        for (const test::kind_outcome& outcome : outcomes)
            CHECK(outcome.served_fraction() > 0.25 * served / callers);
    }
}

// Guards against serving a route less often than a less urgent one of its service by more than 5 in 100.
TEST_CASE("in an overload of all routes, no route is served less often than a less urgent one") {
    for (unsigned seed = 0; seed < 3; ++seed) {
        INFO("seed " << seed);
        const auto outcomes = run_overload_of_all_routes(seed);
        for (std::size_t kind = 1; kind < outcomes.size(); ++kind)
            CHECK(outcomes[kind].served_fraction() < outcomes[kind - 1].served_fraction() + 0.05);
    }
}

TEST_CASE("a burst of the least urgent route is refused before the more urgent ones") {
    for (unsigned seed = 0; seed < 3; ++seed) {
        INFO("seed " << seed);
        auto options = competing_routes(seed);
        for (test::request_kind& kind : options.kinds)
            kind.per_second *= 0.9;
        options.kinds[2].peak = 6;
        options.kinds[2].peak_from = 1s;
        options.kinds[2].peak_to = 6s;
        options.kinds[2].returns_early = seed == 2;
        const auto outcomes = test::waiting_model(options).run(8s);
        CHECK(outcomes[0].served_fraction() > 0.98);
        CHECK(outcomes[1].served_fraction() > 0.95);
        CHECK(outcomes[2].served_fraction() < 0.9);
        // The slots are in use while requests wait: from the beginning of the burst on.
        double slot_seconds = 0;
        for (const test::kind_outcome& outcome : outcomes)
            slot_seconds += outcome.slot_seconds;
        CHECK(slot_seconds > 0.9 * options.slots * 7);
    }
}

TEST_CASE("a request that more urgent ones overtake is refused if it would wait for half of its limit") {
    // 40 requests of rank 0 and 30 of rank 1 wait; 115 slots become free each second.
    std::vector<waiter> waiters(40, {100ms, 4'000, 500ms, 0});
    waiters.insert(waiters.end(), 30, {200ms, 4'000, 700ms, 1});
    const decision::wait_queue queue(waiters, {.by_rank = true});
    const local_waiter own = {.waited = 0ms, .in_time = 1'300ms, .rank = 2};
    CHECK(queue.count_ahead(own) == 70);
    CHECK(queue.count_overtaken_ahead(own) == 30);
    CHECK(queue.count_overtaken_ahead({.waited = 0ms, .in_time = 500ms, .rank = 0}) == 0);
    decision::admission_facts facts = {.total_slots = 115,
                                       .waiting_ahead = 70,
                                       .overtaken_ahead = 30,
                                       .hold = 1s,
                                       .max_wait = 3s,
                                       .is_ordered = true};
    CHECK(decision::expected_wait(facts) == base::from_seconds(120.0 / 115));
    CHECK(decision::admit_to_engines(facts) == decision::admission::wait);
    facts.overtaken_ahead = 60;
    CHECK(decision::admit_to_engines(facts) == decision::admission::refuse);
}

TEST_CASE("callers refused from an ordered queue return after one to two times their expected wait") {
    const decision::admission_facts facts = {
        .total_slots = 10, .waiting_ahead = 39, .hold = 1s, .is_ordered = true};
    std::mt19937_64 random(1);
    for (int draw = 0; draw < 100; ++draw) {
        const base::duration delay = decision::slot_retry_delay(facts, random);
        CHECK(delay >= 4s);
        CHECK(delay <= 8s);
    }
}
