// SPDX-License-Identifier: BSD-2-Clause
#include <decision/shared_budget.h>

#include <catch2/catch.hpp>

#include <random>
#include <vector>

using namespace postpaddle;
using namespace std::chrono_literals;

namespace {

const base::time_point start{1h};
const decision::shared_budget_options options = {.ratio = 0.2, .slack = 56, .window = 10s};

} // namespace

TEST_CASE("a host spends its part of the slack and the ratio of its own requests") {
    decision::shared_budget budget;
    int spent = 0;
    while (decision::try_spend(budget, options, 8, start))
        ++spent;
    CHECK(spent <= 7);
    CHECK(spent >= 5);
    for (int request = 0; request < 100; ++request)
        decision::note_request(budget, options, start + 1s);
    int more = 0;
    while (decision::try_spend(budget, options, 8, start + 1s))
        ++more;
    CHECK(more <= 20);
    CHECK(more >= 15);
}

TEST_CASE("what was spent comes back once the window has passed") {
    decision::shared_budget budget;
    while (decision::try_spend(budget, options, 8, start)) {
    }
    CHECK_FALSE(decision::try_spend(budget, options, 8, start + 9s));
    CHECK(decision::try_spend(budget, options, 8, start + 11s));
}

TEST_CASE("whatever the hosts do, no window holds more extra sends than the bound") {
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        const int hosts = std::uniform_int_distribution<>(1, 9)(random);
        std::vector<decision::shared_budget> budgets(static_cast<std::size_t>(hosts));
        std::vector<base::time_point> requests;
        std::vector<base::time_point> extras;
        base::time_point now = start;
        for (int step = 0; step < 3'000; ++step) {
            now += std::chrono::milliseconds(std::uniform_int_distribution<>(0, 30)(random));
            auto& budget =
                budgets[static_cast<std::size_t>(step * 7 + static_cast<int>(random() % 3)) % budgets.size()];
            if (random() % 3 == 0) {
                decision::note_request(budget, options, now);
                requests.push_back(now);
            }
            if (decision::try_spend(budget, options, hosts, now))
                extras.push_back(now);
        }
        for (std::size_t last = 0; last < extras.size(); last += 5) {
            const base::time_point begin = extras[last] - options.window;
            const auto within = [&](const auto& times) {
                return std::count_if(times.begin(), times.end(),
                                     [&](auto at) { return at > begin && at <= extras[last]; });
            };
            INFO("seed " << seed << " at extra " << last);
            REQUIRE(static_cast<double>(within(extras)) <=
                    options.ratio * static_cast<double>(within(requests)) + options.slack);
        }
    }
}

TEST_CASE("an extra send that came about unforeseen leaves less for those that are asked for") {
    const decision::shared_budget_options options = {.ratio = 0, .slack = 10, .window = 10s};
    const base::time_point now{1h};
    decision::shared_budget budget;
    for (int extra = 0; extra < 8; ++extra)
        decision::note_extra(budget, options, now);
    CHECK_FALSE(decision::try_spend(budget, options, 1, now));
    CHECK(decision::try_spend(budget, options, 1, now + 11s));
}
