// SPDX-License-Identifier: BSD-2-Clause
#include <decision/shared_budget.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <vector>

using namespace postpaddle;
using namespace std::chrono_literals;

namespace {

const base::time_point start{1h};
const decision::shared_budget_options options = {.ratio = 0.2, .slack = 56, .window = 10s, .hosts = 8};

/// The budget of a process started at that time.
decision::shared_budget new_budget(base::time_point now) { return {.filled_at = now}; }

/// Hosts that share one budget, with all requests and retries sent.
class budget_simulation {
public:
    budget_simulation(std::size_t hosts, base::time_point now) : now(now), budgets(hosts, new_budget(now)) {}

    void advance(base::duration time) { this->now += time; }

    /// Sends a request to a host, which sends up to `wanted_retries` retries as the budget allows.
    void send_request(std::size_t host, int wanted_retries) {
        const decision::shared_budget_options shared = this->options_of(host);
        decision::record_request(this->budgets[host], shared, this->now);
        this->requests.push_back(this->now);
        for (int retry = 0; retry < wanted_retries; ++retry)
            if (decision::try_spend(this->budgets[host], shared, this->now))
                this->retries.push_back(this->now);
    }

    /// Restarts the host's process, which loses its state.
    void restart(std::size_t host) { this->budgets[host] = new_budget(this->now); }

    /// Checks every window that begins with a retry.
    void check_bound() const {
        for (const base::time_point begin : this->retries) {
            INFO("window from " << base::to_seconds(begin - start) << " s");
            REQUIRE(this->count(this->retries, begin) <=
                    options.ratio * this->count(this->requests, begin) + options.slack);
        }
    }

    [[nodiscard]] std::size_t host_count() const { return this->budgets.size(); }

    [[nodiscard]] std::size_t retry_count() const { return this->retries.size(); }

private:
    [[nodiscard]] decision::shared_budget_options options_of(std::size_t host) const {
        decision::shared_budget_options shared = options;
        shared.hosts = static_cast<int>(this->budgets.size());
        shared.rank = static_cast<int>(host);
        return shared;
    }

    [[nodiscard]] static double count(const std::vector<base::time_point>& times, base::time_point begin) {
        const auto from = std::ranges::lower_bound(times, begin);
        return static_cast<double>(std::ranges::lower_bound(times, begin + options.window) - from);
    }

    base::time_point now;
    std::vector<decision::shared_budget> budgets;
    std::vector<base::time_point> requests;
    std::vector<base::time_point> retries;
};

/// Uniform in [0, bound).
std::size_t draw_below(std::mt19937& random, std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
}

} // namespace

TEST_CASE(
    "a new process has no retries, a running one its share of the slack and the ratio of its requests") {
    decision::shared_budget budget = new_budget(start);
    CHECK_FALSE(decision::try_spend(budget, options, start));
    const base::time_point later = start + 1h;
    int spent = 0;
    for (base::duration passed{}; passed < options.window; passed += 100ms)
        while (decision::try_spend(budget, options, later + passed))
            ++spent;
    CHECK(spent <= 7);
    CHECK(spent >= 5);
    const base::time_point end = later + options.window;
    int more = 0;
    for (int request = 0; request < 100; ++request) {
        decision::record_request(budget, options, end);
        while (decision::try_spend(budget, options, end))
            ++more;
    }
    CHECK(more <= 20);
    CHECK(more >= 15);
}

TEST_CASE("the budget refills evenly with time") {
    decision::shared_budget budget = new_budget(start - options.window);
    while (decision::try_spend(budget, options, start)) {
    }
    CHECK_FALSE(decision::try_spend(budget, options, start + 100ms));
    const auto left_after = [&budget](base::duration passed) {
        return decision::retries_left(budget, options, start + passed);
    };
    CHECK(left_after(4s) - left_after(2s) == Approx(2 * (left_after(2s) - left_after(1s))));
    CHECK(decision::try_spend(budget, options, start + options.window));
}

TEST_CASE("a host's bucket is bounded by its share of the slack, regardless of its requests") {
    decision::shared_budget budget = new_budget(start);
    for (int request = 0; request < 1'000; ++request)
        decision::record_request(budget, options, start);
    const double saved = decision::retries_left(budget, options, start + 1h);
    const double added = decision::retries_left(new_budget(start), options, start + options.window);
    CHECK(saved + added <= options.slack / options.hosts);
}

TEST_CASE("no window contains more retries than the limit") {
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        const int hosts = std::uniform_int_distribution<>(1, 9)(random);
        decision::shared_budget_options shared = options;
        shared.hosts = hosts;
        std::vector<decision::shared_budget> budgets(static_cast<std::size_t>(hosts), new_budget(start));
        std::vector<base::time_point> requests;
        std::vector<base::time_point> retries;
        base::time_point now = start;
        for (int step = 0; step < 3'000; ++step) {
            now += std::chrono::milliseconds(std::uniform_int_distribution<>(0, 30)(random));
            auto& budget =
                budgets[static_cast<std::size_t>(step * 7 + static_cast<int>(random() % 3)) % budgets.size()];
            if (random() % 3 == 0) {
                decision::record_request(budget, shared, now);
                requests.push_back(now);
            }
            if (decision::try_spend(budget, shared, now))
                retries.push_back(now);
        }
        for (std::size_t last = 0; last < retries.size(); last += 5) {
            const base::time_point begin = retries[last] - options.window;
            const auto within = [&](const auto& times) {
                return std::count_if(times.begin(), times.end(),
                                     [&](auto at) { return at > begin && at <= retries[last]; });
            };
            INFO("seed " << seed << " at extra " << last);
            REQUIRE(static_cast<double>(within(retries)) <=
                    options.ratio * static_cast<double>(within(requests)) + options.slack);
        }
    }
}

TEST_CASE("a refund can be spent again and never exceeds the capacity") {
    decision::shared_budget budget = new_budget(start - 10 * options.window);
    const double full = decision::retries_left(budget, options, start);
    REQUIRE(decision::try_spend(budget, options, start));
    decision::refund(budget, options, start);
    CHECK(decision::retries_left(budget, options, start) == Approx(full));
    decision::refund(budget, options, start);
    CHECK(decision::retries_left(budget, options, start) == Approx(full));
}

TEST_CASE("a host without known peers has only the ratio of its requests") {
    const decision::shared_budget_options no_slack = {.ratio = 0.2, .slack = 0, .window = 10s, .hosts = 1};
    decision::shared_budget budget = new_budget(start);
    CHECK_FALSE(decision::try_spend(budget, no_slack, start + 1h));
    for (int request = 0; request < 6; ++request)
        decision::record_request(budget, no_slack, start + 1h);
    CHECK(decision::try_spend(budget, no_slack, start + 1h));
}

// Guards against restarts resetting the budget: a killed host forgot what it had spent, and the next process
// spent its share again.
TEST_CASE("restarted hosts keep to the limit") {
    for (unsigned seed = 1; seed <= 100; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        budget_simulation simulation(1 + draw_below(random, 12), start);
        for (int step = 0; step < 4'000; ++step) {
            simulation.advance(std::chrono::milliseconds(draw_below(random, 30)));
            simulation.send_request(draw_below(random, simulation.host_count()), 3);
            const std::size_t fault = draw_below(random, 300);
            if (fault == 0)
                for (std::size_t host = 0; host < simulation.host_count(); ++host)
                    simulation.restart(host);
            else if (fault < 5)
                simulation.restart(draw_below(random, simulation.host_count()));
        }
        simulation.check_bound();
    }
}

// Guards against hosts accounting over windows of their own: callers that moved between hosts were counted in
// two windows that overlap at the upstream.
TEST_CASE("callers that move between hosts do not raise the limit") {
    for (unsigned seed = 1; seed <= 100; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        budget_simulation simulation(2 + draw_below(random, 8), start);
        std::size_t preferred = 0;
        bool is_refusing = false;
        for (int step = 0; step < 6'000; ++step) {
            simulation.advance(std::chrono::milliseconds(draw_below(random, 20)));
            if (draw_below(random, 500) == 0) {
                preferred = draw_below(random, simulation.host_count());
                is_refusing = !is_refusing;
            }
            simulation.send_request(preferred, is_refusing ? 3 : 0);
        }
        simulation.check_bound();
    }
}

// Guards against a minimum of one saved retry per host, which exceeds the slack where hosts outnumber it.
TEST_CASE("more hosts than retries in the slack keep to the limit and still use it") {
    static constexpr std::size_t hosts = 400;
    for (unsigned seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        budget_simulation simulation(hosts, start);
        // No retries at first, so that all buckets fill up; then an upstream refuses everything.
        for (int step = 0; step < 8'000; ++step) {
            simulation.advance(5ms);
            simulation.send_request(draw_below(random, hosts), 0);
        }
        for (std::size_t host = 0; host < hosts; ++host)
            simulation.send_request(host, 3);
        CHECK(simulation.retry_count() > options.slack / 2);
        for (int step = 0; step < 4'000; ++step) {
            simulation.advance(std::chrono::milliseconds(draw_below(random, 10)));
            simulation.send_request(draw_below(random, hosts), draw_below(random, 10) == 0 ? 3 : 1);
            if (draw_below(random, 100) == 0)
                simulation.restart(draw_below(random, hosts));
        }
        simulation.check_bound();
    }
}

TEST_CASE("capacities assigned by rank add up to the fraction of the slack") {
    for (const int hosts : {45, 57, 200, 400, 1'000}) {
        double saved = 0;
        for (int rank = 0; rank < hosts; ++rank) {
            const decision::shared_budget_options shared = {
                .ratio = 0.2, .slack = 56, .window = 10s, .hosts = hosts, .rank = rank};
            saved += decision::retries_left(new_budget(start), shared, start + 24h);
        }
        INFO(hosts);
        CHECK(saved <= 0.8 * options.slack + 0.001);
        CHECK(saved >= 0.8 * options.slack - 1);
    }
}

// Guards against a bucket that fills up again beside the retries that are reserved for sends still to come.
TEST_CASE("retries reserved before a prefill and spent after it keep to the limit") {
    decision::shared_budget_options shared = options;
    for (shared.hosts = 1; shared.hosts <= 8; ++shared.hosts)
        for (const bool does_first_send_count : {true, false}) {
            INFO(shared.hosts << " hosts, first send counts: " << does_first_send_count);
            decision::shared_budget budget = new_budget(start - 10 * options.window);
            const int saved = static_cast<int>(decision::retries_left(budget, shared, start));
            REQUIRE(decision::try_reserve(budget, shared, saved, start));
            if (!does_first_send_count)
                for (int send = 0; send < saved; ++send)
                    decision::spend_reserved(budget);
            // Many requests arrive while the prompts are processed.
            const base::time_point end = start + 3s;
            for (int request = 0; request < 1'000; ++request)
                decision::record_request(budget, shared, end - 1s);
            if (!does_first_send_count)
                for (int send = 0; send < saved; ++send)
                    decision::refund_reserved(budget, shared);
            // Then all is spent within a window that has no requests.
            int spent = saved;
            for (int send = 0; send < saved; ++send)
                decision::spend_reserved(budget);
            for (base::duration passed{}; passed < options.window; passed += 100ms)
                while (decision::try_spend(budget, shared, end + passed))
                    ++spent;
            CHECK(spent <= options.slack / shared.hosts);
        }
}

TEST_CASE("retries are reserved all or none, and released to the bucket") {
    decision::shared_budget budget = new_budget(start - 10 * options.window);
    const double full = decision::retries_left(budget, options, start);
    REQUIRE(full > 2);
    CHECK_FALSE(decision::try_reserve(budget, options, static_cast<int>(full) + 1, start));
    CHECK(decision::retries_left(budget, options, start) == Approx(full));
    REQUIRE(decision::try_reserve(budget, options, 2, start));
    CHECK(decision::retries_left(budget, options, start + 1h) == Approx(full - 2));
    decision::spend_reserved(budget);
    decision::release_reserved(budget, options, 1, start);
    CHECK(decision::retries_left(budget, options, start) == Approx(full - 1));
}
