// SPDX-License-Identifier: BSD-2-Clause
// What hosts pay for a request's arrivals at upstreams, beside what the upstreams count.
#include <decision/retry_payment.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <vector>

using namespace postpaddle;
using decision::attempt_kind;
using decision::attempt_result;
using namespace std::chrono_literals;

namespace {

const base::time_point start{1h};

struct fault_rates {
    double closed = 0;    ///< Of sends, whose connection is closed without an answer.
    double refused = 0;   ///< Of sends.
    double late = 0;      ///< Of sends, which are given up without an answer.
    double forwarded = 0; ///< Of attempts, made by another host.
    double killed = 0;    ///< Of forwarded requests whose host is killed before it answers.
};

/// The upstreams' own count.
class upstream_count {
public:
    void record(int request, attempt_kind kind, attempt_result result, base::time_point now) {
        seen& known = this->requests[request];
        const bool is_read = kind == attempt_kind::prefill && result == attempt_result::answered;
        if (is_read && !std::exchange(known.has_read_prompt, true))
            return;
        if (std::exchange(known.has_arrived, true))
            this->extra.push_back(now);
    }

    [[nodiscard]] const std::vector<base::time_point>& extra_arrivals() const { return this->extra; }

private:
    struct seen {
        bool has_read_prompt = false;
        bool has_arrived = false;
    };
    std::map<int, seen> requests;
    std::vector<base::time_point> extra;
};

/// Hosts that share a budget, before upstreams that fail in these ways.
class payment_model {
public:
    payment_model(unsigned seed, int hosts, const fault_rates& rates)
        : random(seed), rates(rates), budgets(static_cast<std::size_t>(hosts), {.started = start}),
          shared({.ratio = 0.2, .slack = 56, .window = 10s, .hosts = hosts}) {}

    void send_requests(int count, base::duration mean_pause) {
        for (int request = 0; request < count; ++request) {
            this->now += base::scaled(mean_pause, 2 * this->draw());
            this->requests.push_back(this->now);
            const std::size_t host = this->draw_host();
            decision::record_request(this->budgets[host], this->options_of(host), this->now);
            attempt_state state{.request = request};
            const bool is_answered = this->serve(host, state, true);
            this->answered += is_answered ? 1 : 0;
        }
    }

    [[nodiscard]] const upstream_count& upstreams() const { return this->seen; }
    [[nodiscard]] int paid() const { return this->spent; }
    [[nodiscard]] int served() const { return this->answered; }
    [[nodiscard]] int kills() const { return this->killed; }

    [[nodiscard]] double most_of_allowed() const {
        double most = 0;
        const auto& extra = this->seen.extra_arrivals();
        for (const base::time_point begin : extra)
            most = std::max(most, count(extra, begin) / (this->shared.ratio * count(this->requests, begin) +
                                                         this->shared.slack));
        return most;
    }

private:
    /// A request at one host.
    struct attempt_state {
        int request = 0;
        decision::arrival_account arrivals{};
        decision::retry_payment payment{};
    };

    static double count(const std::vector<base::time_point>& times, base::time_point begin) {
        const auto from = std::ranges::lower_bound(times, begin);
        return static_cast<double>(std::ranges::lower_bound(times, begin + 10s) - from);
    }

    double draw() { return std::uniform_real_distribution<>(0, 1)(this->random); }

    std::size_t draw_host() {
        return std::uniform_int_distribution<std::size_t>(0, this->budgets.size() - 1)(this->random);
    }

    [[nodiscard]] decision::shared_budget_options options_of(std::size_t host) const {
        decision::shared_budget_options own = this->shared;
        own.rank = static_cast<int>(host);
        return own;
    }

    attempt_result draw_result() {
        double drawn = this->draw();
        for (const auto& [rate, result] : {std::pair(this->rates.closed, attempt_result::broken),
                                           std::pair(this->rates.refused, attempt_result::not_run),
                                           std::pair(this->rates.late, attempt_result::late),
                                           std::pair(0.02, attempt_result::not_connected)}) {
            if (drawn < rate)
                return result;
            drawn -= rate;
        }
        return attempt_result::answered;
    }

    bool try_pay(std::size_t host, attempt_state& state) {
        return !decision::is_retry(state.arrivals) ||
               decision::try_pay(state.payment, this->budgets[host], this->options_of(host), this->now);
    }

    /// Serves the request with a few prompts and runs; returns whether it was answered.
    bool serve(std::size_t host, attempt_state& state, bool may_forward) {
        bool has_cache = false;
        static constexpr int max_attempts = 6;
        for (int attempt = 0; attempt < max_attempts; ++attempt) {
            if (may_forward && this->draw() < this->rates.forwarded) {
                if (const auto is_answered = this->forward(host, state))
                    return *is_answered;
                has_cache = false;
                continue;
            }
            const bool is_run = has_cache || this->draw() < 0.5;
            const auto result = this->send(host, state, is_run ? attempt_kind::run : attempt_kind::prefill);
            if (!result)
                return false;
            if (is_run && *result == attempt_result::answered)
                return true;
            has_cache = !is_run && *result == attempt_result::answered;
        }
        return false;
    }

    /// Returns nothing if the budget is exhausted.
    std::optional<attempt_result> send(std::size_t host, attempt_state& state, attempt_kind kind) {
        if (!this->try_pay(host, state))
            return std::nullopt;
        const attempt_result result = this->draw_result();
        if (result != attempt_result::not_connected)
            this->seen.record(state.request, kind, result, this->now);
        const bool does_count = decision::counts(state.arrivals, kind, result);
        this->spent += state.payment.payer != decision::retry_payer::nobody && does_count ? 1 : 0;
        decision::settle(state.payment, this->budgets[host], this->options_of(host), does_count,
                         decision::refund_to::budget, this->now);
        decision::record_arrival(state.arrivals, kind, result);
        return result;
    }

    /// Has another host serve the request. Returns whether it was answered, nothing if the host didn't.
    std::optional<bool> forward(std::size_t host, attempt_state& state) {
        if (!this->try_pay(host, state))
            return false;
        const std::size_t other = this->draw_host();
        attempt_state there{.request = state.request, .arrivals = state.arrivals};
        there.payment.granted = state.payment.payer == decision::retry_payer::nobody ? 0 : 1;
        const bool is_answered = this->serve(other, there, false);
        std::optional<decision::told_arrivals> told;
        if (other != host && this->draw() < this->rates.killed) {
            ++this->killed;
            this->budgets[other] = {.started = this->now};
        } else {
            told = {.account = there.arrivals, .unused_retries = there.payment.granted};
        }
        decision::take_over(state.arrivals, state.payment, this->budgets[host], this->options_of(host), told,
                            this->now);
        decision::settle(state.payment, this->budgets[host], this->options_of(host), false,
                         decision::refund_to::budget, this->now);
        return told && is_answered ? std::optional(true) : std::nullopt;
    }

    std::mt19937 random;
    fault_rates rates;
    std::vector<decision::shared_budget> budgets;
    decision::shared_budget_options shared;
    base::time_point now = start;
    std::vector<base::time_point> requests;
    upstream_count seen;
    int answered = 0;
    int spent = 0;
    int killed = 0;
};

} // namespace

// Guards against arrivals that no host pays for: closed without an answer, sent again by a host to which the
// request was forwarded, or by the first host after it came back, and by the hosts after one that died.
TEST_CASE("upstreams receive no arrival that is not paid for, whichever host sends it") {
    for (unsigned seed = 1; seed <= 60; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        const auto up_to = [&random](double most) {
            return std::uniform_real_distribution<>(0, most)(random);
        };
        const fault_rates rates = {.closed = up_to(0.5),
                                   .refused = up_to(0.2),
                                   .late = up_to(0.1),
                                   .forwarded = up_to(0.5),
                                   .killed = up_to(0.1)};
        payment_model model(seed, 1 + static_cast<int>(random() % 12), rates);
        model.send_requests(2'000, 17ms);
        REQUIRE(model.most_of_allowed() <= 1);
        const auto extra = static_cast<int>(model.upstreams().extra_arrivals().size());
        REQUIRE(model.paid() >= extra);
        REQUIRE(model.paid() <= extra + model.kills());
    }
}

// Guards against callers who are refused while budget is left.
TEST_CASE("where upstreams break two attempts in five, nine tenths of the retry budget are spent") {
    for (const int hosts : {1, 3, 6}) {
        INFO(hosts << " hosts");
        payment_model model(static_cast<unsigned>(hosts), hosts, {.closed = 0.4, .forwarded = 0.1});
        model.send_requests(6'000, 17ms);
        CHECK(model.most_of_allowed() <= 1);
        CHECK(model.most_of_allowed() >= 0.9 - 0.01 * hosts);
    }
}
