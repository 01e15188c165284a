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
decision::shared_budget new_budget(base::time_point now) { return {.started = now}; }

/// Holds a retry if there is one, and spends it at once.
bool try_spend(decision::shared_budget& budget, const decision::shared_budget_options& shared,
               base::time_point now) {
    if (!decision::try_hold(budget, shared, 1, now))
        return false;
    decision::spend_held(budget, shared, now);
    return true;
}

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
            if (try_spend(this->budgets[host], shared, this->now))
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

    [[nodiscard]] double retries_since(base::time_point begin) const {
        return static_cast<double>(this->retries.end() - std::ranges::lower_bound(this->retries, begin));
    }

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
    "a new process has no retries, then those of its requests, and its share of the slack after a window") {
    decision::shared_budget budget = new_budget(start);
    CHECK_FALSE(try_spend(budget, options, start));
    int spent = 0;
    for (int request = 0; request < 20; ++request) {
        decision::record_request(budget, options, start + 1s);
        spent += try_spend(budget, options, start + 1s) ? 1 : 0;
    }
    CHECK(spent == 3);
    const base::time_point later = start + options.window + 1ms;
    while (try_spend(budget, options, later))
        ++spent;
    CHECK(spent == 8);
}

// Guards against a share of the slack that, once spent, comes back slower than the limit allows.
TEST_CASE("what was spent comes back when it has left the window, and not before") {
    decision::shared_budget budget = new_budget(start - options.window);
    int share = 0;
    while (try_spend(budget, options, start))
        ++share;
    CHECK(share == 5);
    CHECK_FALSE(try_spend(budget, options, start + options.window - 1ms));
    // A slot is a fiftieth of the window.
    const base::time_point back = start + options.window + options.window / 50;
    for (int retry = 0; retry < share; ++retry)
        CHECK(try_spend(budget, options, back));
    CHECK_FALSE(try_spend(budget, options, back));
}

TEST_CASE(
    "a host's retries at once are bounded by its share of the slack, regardless of its earlier requests") {
    decision::shared_budget budget = new_budget(start);
    for (int request = 0; request < 1'000; ++request)
        decision::record_request(budget, options, start + 1s);
    for (const base::duration up : {1s, 9s, 11s, 3'600s}) {
        CHECK(decision::retries_left(budget, options, start + up) <= 0.8 * options.slack / options.hosts);
        CHECK(decision::retries_left(budget, options, start + up) > 5);
    }
    CHECK_FALSE(decision::is_scarce(budget, options, start + 11s));
    while (decision::retries_left(budget, options, start + 11s) >= 2.8)
        REQUIRE(try_spend(budget, options, start + 11s));
    CHECK(decision::is_scarce(budget, options, start + 11s));
}

// Guards against slots of another length being read as if they were of the present one.
TEST_CASE("a window of another length begins like a new process") {
    decision::shared_budget budget = new_budget(start - 1h);
    REQUIRE(try_spend(budget, options, start));
    decision::shared_budget_options longer = options;
    longer.window = 3 * options.window;
    decision::record_request(budget, longer, start + 1s);
    CHECK_FALSE(try_spend(budget, longer, start + 1s));
    CHECK(try_spend(budget, longer, start + 1s + longer.window));
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
            if (try_spend(budget, shared, now))
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

TEST_CASE("a host without known peers has only the ratio of its requests") {
    const decision::shared_budget_options no_slack = {.ratio = 0.2, .slack = 0, .window = 10s, .hosts = 1};
    decision::shared_budget budget = new_budget(start);
    CHECK_FALSE(try_spend(budget, no_slack, start + 1h));
    for (int request = 0; request < 6; ++request)
        decision::record_request(budget, no_slack, start + 1h);
    CHECK(try_spend(budget, no_slack, start + 1h));
    CHECK_FALSE(try_spend(budget, no_slack, start + 1h));
    CHECK_FALSE(try_spend(budget, no_slack, start + 2h));
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

// Guards against retries that are paid for in one window and arrive in another: their hosts had spent them,
// and what was spent earlier had come back, before they arrived.
TEST_CASE("retries that arrive at any time between their payment and its settlement keep to the limit") {
    struct send {
        base::time_point arrives;
        base::time_point settled;
        std::size_t host;
    };
    for (unsigned seed = 1; seed <= 60; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        decision::shared_budget_options shared = options;
        shared.hosts = static_cast<int>(1 + draw_below(random, 8));
        std::vector<decision::shared_budget> budgets(static_cast<std::size_t>(shared.hosts),
                                                     new_budget(start));
        std::vector<base::time_point> requests;
        std::vector<base::time_point> arrivals;
        std::vector<send> open;
        const std::size_t longest_ms = 1 + draw_below(random, 6'000);
        base::time_point now = start;
        for (int step = 0; step < 5'000; ++step) {
            now += std::chrono::milliseconds(draw_below(random, 20));
            std::erase_if(open, [&](const send& sent) {
                if (sent.settled > now)
                    return false;
                decision::spend_held(budgets[sent.host], shared, now);
                arrivals.push_back(sent.arrives);
                return true;
            });
            const std::size_t host = draw_below(random, budgets.size());
            shared.rank = static_cast<int>(host);
            decision::record_request(budgets[host], shared, now);
            requests.push_back(now);
            if (draw_below(random, 2'000) == 0) {
                budgets[host] = new_budget(now);
                // What has not left a host by then dies with it.
                std::erase_if(open, [&](const send& sent) {
                    if (sent.host != host)
                        return false;
                    arrivals.push_back(std::min(sent.arrives, now));
                    return true;
                });
            }
            // A prompt that turned out to be free.
            if (decision::try_hold(budgets[host], shared, 2, now))
                decision::release_held(budgets[host], 1);
            else if (!decision::try_hold(budgets[host], shared, 1, now))
                continue;
            const auto arrives = now + std::chrono::milliseconds(draw_below(random, longest_ms));
            open.push_back(
                {arrives, arrives + std::chrono::milliseconds(draw_below(random, longest_ms)), host});
        }
        for (const send& sent : open)
            arrivals.push_back(sent.arrives);
        std::ranges::sort(arrivals);
        const auto count = [](const std::vector<base::time_point>& times, base::time_point begin) {
            const auto from = std::ranges::lower_bound(times, begin);
            return static_cast<double>(std::ranges::lower_bound(times, begin + options.window) - from);
        };
        for (const base::time_point begin : arrivals)
            REQUIRE(count(arrivals, begin) <= options.ratio * count(requests, begin) + options.slack);
    }
}

// Guards against budget that nobody gets, where upstreams break two attempts in five.
TEST_CASE("hosts under steady want spend nine tenths of what is allowed, less what makes no whole retry") {
    for (const std::size_t hosts : {1UL, 3UL, 6UL, 12UL}) {
        INFO(hosts << " hosts");
        std::mt19937 random(static_cast<unsigned>(hosts));
        budget_simulation simulation(hosts, start);
        static constexpr int per_second = 60;
        static constexpr int windows = 6;
        for (int request = 0; request < windows * 10 * per_second; ++request) {
            simulation.advance(1'000ms / per_second);
            simulation.send_request(draw_below(random, hosts), 3);
        }
        simulation.check_bound();
        const double allowed = options.ratio * 10 * per_second + options.slack;
        // From the second window on. At each moment a host lacks up to one retry.
        const double spent = simulation.retries_since(start + options.window) / (windows - 1);
        CHECK(spent >= 0.88 * allowed - static_cast<double>(hosts));
    }
}

TEST_CASE("retries are held all or none, and released") {
    decision::shared_budget budget = new_budget(start - 10 * options.window);
    const double full = decision::retries_left(budget, options, start);
    REQUIRE(full > 2);
    CHECK_FALSE(decision::try_hold(budget, options, static_cast<int>(full) + 1, start));
    CHECK(decision::retries_left(budget, options, start) == Approx(full));
    REQUIRE(decision::try_hold(budget, options, 2, start));
    CHECK(decision::retries_left(budget, options, start + 1h) == Approx(full - 2));
    decision::spend_held(budget, options, start);
    decision::release_held(budget, 1);
    CHECK(decision::retries_left(budget, options, start) == Approx(full - 1));
    CHECK(decision::retries_left(budget, options, start + 1h) == Approx(full));
}
