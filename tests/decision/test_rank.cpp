// SPDX-License-Identifier: BSD-2-Clause
#include <decision/overload/rank.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <limits>
#include <numeric>
#include <random>

using namespace postpaddle;
using namespace std::chrono_literals;

TEST_CASE("a request ranks by its organisation's priority first, then by its route's") {
    const auto table = decision::make_rank_table({7, 0, 7}, {2, 0, 1, 1});
    CHECK(decision::has_ranks(table));
    CHECK(decision::rank_of(table, 0, 0) == 0);
    CHECK(decision::rank_of(table, 0, 2) == 2);
    CHECK(decision::rank_of(table, 7, 0) == 3);
    CHECK(decision::rank_of(table, 7, 2) == 5);
    CHECK(decision::middle_rank(table) == 2);
    // Without an organisation: with the least urgent ones.
    CHECK(decision::rank_of(table, std::nullopt, 0) == 3);
}

TEST_CASE("requests that all have the same priority have no ranks") {
    const auto table = decision::make_rank_table({}, {3, 3});
    CHECK_FALSE(decision::has_ranks(table));
    CHECK(decision::rank_of(table, std::nullopt, 3) == 0);
    CHECK(decision::middle_rank({}) == 7);
}

TEST_CASE("routes keep their ranks where every organisation has a priority of its own") {
    std::vector<int> organisations(16);
    std::iota(organisations.begin(), organisations.end(), 0);
    const auto table = decision::make_rank_table(organisations, {0, 1, 2});
    CHECK(decision::rank_of(table, 0, 0) < decision::rank_of(table, 0, 1));
    CHECK(decision::rank_of(table, 0, 1) < decision::rank_of(table, 0, 2));
    CHECK(decision::rank_of(table, 15, 2) <= decision::max_rank);
}

TEST_CASE("negative, huge and thousands of priorities give bounded ranks in their order on every host") {
    for (unsigned seed = 0; seed < 200; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        const auto draw = [&random](std::size_t count) {
            std::vector<int> priorities = {std::numeric_limits<int>::min(), std::numeric_limits<int>::max()};
            while (priorities.size() < count)
                priorities.push_back(static_cast<int>(random()));
            return priorities;
        };
        std::vector<int> organisations = draw(random() % 5'000);
        const std::vector<int> routes = draw(random() % 40);
        const auto table = decision::make_rank_table(organisations, routes);
        std::ranges::shuffle(organisations, random);
        REQUIRE(decision::make_rank_table(organisations, routes) == table);
        for (int pair = 0; pair < 50; ++pair) {
            // Priorities that are not in the settings rank among those that are.
            const int left = static_cast<int>(random());
            const int right = static_cast<int>(random());
            const int route = static_cast<int>(random());
            const int left_rank = decision::rank_of(table, left, route);
            const int right_rank = decision::rank_of(table, right, route);
            REQUIRE(left_rank >= 0);
            REQUIRE(left_rank <= decision::max_rank);
            REQUIRE((left < right ? left_rank <= right_rank : left_rank >= right_rank));
        }
    }
}

TEST_CASE("the rank of a waiting request improves by one for each latency target, up to the most urgent") {
    CHECK(decision::rank_after_wait(2, 799ms, 800ms) == 2);
    CHECK(decision::rank_after_wait(2, 800ms, 800ms) == 1);
    CHECK(decision::rank_after_wait(2, 24h, 1ms) == 0);
    CHECK(decision::rank_after_wait(2, 1s, 0ms) == 2);
    CHECK(decision::rank_after_wait(99, -5s, 800ms) == decision::max_rank);
}
