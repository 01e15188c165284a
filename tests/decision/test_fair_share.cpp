// SPDX-License-Identifier: BSD-2-Clause
#include <decision/overload/fair_share.h>
#include <decision/waiting_model.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <random>

using namespace postpaddle;
using namespace std::chrono_literals;

namespace {

/// Four organisations that each demand a fifth of the slots; the first demands six times as much.
test::waiting_model_options competing_organisations(unsigned seed) {
    test::waiting_model_options options = {.seed = seed, .slots = 100, .by_rank = false};
    for (std::uint32_t key = 1; key <= 4; ++key)
        options.kinds.push_back({.share_key = key, .per_second = key == 1 ? 120.0 : 20.0});
    return options;
}

/// Checks that the organisations' mean use of slots is within 10 % of max-min.
void check_shares(const test::waiting_model_options& options) {
    static constexpr auto duration = 20s;
    const auto outcomes = test::waiting_model(options).run(duration);
    std::vector<decision::share_demand> demands;
    demands.reserve(outcomes.size());
    for (const test::kind_outcome& outcome : outcomes)
        demands.push_back(
            {.amount = outcome.callers * base::to_seconds(options.hold) / base::to_seconds(duration)});
    const double level = decision::max_min_level(demands, options.slots);
    for (std::size_t kind = 0; kind < outcomes.size(); ++kind) {
        INFO("seed " << options.seed << ", organisation " << kind + 1);
        const double share = std::min(level, demands[kind].amount);
        CHECK(outcomes[kind].slot_seconds / base::to_seconds(duration) == Approx(share).epsilon(0.1));
    }
}

} // namespace

TEST_CASE("the max-min level caps the demands so that they add up to the capacity") {
    CHECK(decision::max_min_level({{10}, {20}, {100}}, 60) == Approx(30));
    CHECK(decision::max_min_level({{10}, {100, 2}, {100}}, 70) == Approx(20));
    CHECK(std::isinf(decision::max_min_level({{10}, {20}}, 31)));
    CHECK(std::isinf(decision::max_min_level({}, 0)));
    for (unsigned seed = 0; seed < 200; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        std::vector<decision::share_demand> demands(1 + random() % 3'000);
        double total = 0;
        for (decision::share_demand& demand : demands) {
            demand = {.amount = static_cast<double>(random() % 10'000),
                      .weight = 1.0 + static_cast<double>(random() % 4)};
            total += demand.amount;
        }
        const double capacity = total * (0.1 + 0.1 * static_cast<double>(random() % 8)) + 1;
        const double level = decision::max_min_level(demands, capacity);
        double shared = 0;
        for (const decision::share_demand& demand : demands)
            shared += std::min(demand.amount, demand.weight * level);
        REQUIRE(shared == Approx(std::min(total, capacity)));
    }
}

TEST_CASE("an organisation is beyond its share only for what exceeds the level, and never for its only one") {
    const auto shares =
        decision::make_fair_shares({{1, 30'000}, {2, 5'000}}, {{1, 20'000}, {3, 4'000}}, 40'000);
    CHECK(shares.level == Approx(31'000));
    CHECK(decision::tokens_in_use(shares, 1) == 30'000);
    CHECK(decision::tokens_in_use(shares, 3) == 0);
    CHECK_FALSE(decision::is_beyond_share(shares, 30'000, 1'500));
    CHECK(decision::is_beyond_share(shares, 30'000, 4'000));
    CHECK(decision::is_beyond_share(shares, 34'000, 1'000));
    CHECK_FALSE(decision::is_beyond_share(shares, decision::tokens_in_use(shares, 2) + 20'000, 4'000));
    CHECK_FALSE(decision::is_beyond_share({.in_use = {}, .level = 10}, 0, 1e9));
}

TEST_CASE("one organisation at six times its rate gets what the others leave, and they are served") {
    for (unsigned seed = 0; seed < 3; ++seed)
        check_shares(competing_organisations(seed));
}

TEST_CASE("two organisations beyond their shares get equal ones, whatever their demands") {
    auto options = competing_organisations(1);
    options.kinds[1].per_second = 60;
    check_shares(options);
}

TEST_CASE("shares hold while a host hears nothing for 2 s, and others have opposite views or stale reports") {
    auto options = competing_organisations(1);
    options.report_loss = 0.5;
    options.is_deaf = [](int host, std::chrono::milliseconds now) {
        const bool is_cut_off = host == 0 && now >= 5s && now < 7s;
        // Each of two hosts hears of the other's load only while the other does not hear of its own.
        const auto phase = now / 500ms % 2;
        return is_cut_off || (host == 1 && phase == 0) || (host == 2 && phase == 1);
    };
    check_shares(options);
}

TEST_CASE("callers that return early do not enlarge their organisation's share") {
    auto options = competing_organisations(2);
    options.kinds[0].returns_early = true;
    check_shares(options);
}

TEST_CASE("of thousands of organisations those without a running request go first") {
    decision::share_amounts in_use;
    std::vector<decision::waiter> waiters;
    for (std::uint32_t key = 0; key < 5'000; ++key) {
        if (key % 2 == 0)
            in_use[key] = 8'000;
        waiters.push_back({std::chrono::milliseconds(key % 300), 4'000, 500ms, 0, key});
    }
    const auto shares = decision::make_fair_shares(in_use, {}, 4'000'000);
    const decision::wait_queue queue(waiters, {.by_share = true, .shares = shares});
    CHECK(queue.count_ahead({.in_time = 500ms, .memory_tokens = 4'000, .share_key = 5'001}) <= 2'500);
    CHECK(queue.count_ahead({.waited = 400ms, .in_time = 500ms, .memory_tokens = 4'000, .share_key = 2}) ==
          2'500);
}
