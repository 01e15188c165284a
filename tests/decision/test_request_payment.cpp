// SPDX-License-Identifier: BSD-2-Clause
// Guards against retries that reach engines without being paid for: a prompt and its run are two arrivals.
#include <decision/arrival_account.h>
#include <decision/random_world.h>

#include <catch2/catch.hpp>

#include <deque>

namespace {

using namespace postpaddle;
using namespace postpaddle::decision;
using namespace std::chrono_literals;

constexpr double ratio = 0.1;
constexpr double slack = 50;
constexpr base::duration window = 10s;

/// Engines that break some of what they get, and count what they receive as the retry budget does.
class breaking_engines {
public:
    breaking_engines(std::uint64_t seed, double broken_prompts, double broken_runs)
        : state(make_router({})), random(seed), breaks_prompt(broken_prompts), breaks_run(broken_runs) {
        this->handle(step(this->state, topology_changed{test::make_topology(12, 12, 64)}, this->now));
    }

    /// A request's whole course; the next one arrives later.
    void serve(int number) {
        this->arrivals = {};
        this->requests.push_back(this->now);
        const std::string id = "request-" + std::to_string(number);
        this->handle(step(this->state, request_arrived{test::make_facts(id)}, this->now));
        while (!this->events.empty()) {
            const event next = this->events.front();
            this->events.pop_front();
            this->now += 5ms;
            this->handle(step(this->state, next, this->now));
        }
        this->now += 20ms;
    }

    /// Greatest number of extra arrivals beyond what is allowed, in any window.
    [[nodiscard]] double greatest_excess() const {
        double greatest = -slack;
        for (const base::time_point end : this->extra) {
            const auto within = [&](base::time_point at) { return at > end - window && at <= end; };
            const auto sent = std::ranges::count_if(this->extra, within);
            const auto arrived = std::ranges::count_if(this->requests, within);
            greatest =
                std::max(greatest, static_cast<double>(sent) - slack - ratio * static_cast<double>(arrived));
        }
        return greatest;
    }
    [[nodiscard]] std::size_t extra_arrivals() const { return this->extra.size(); }

    router_state state;
    bool is_breaking = false; ///< Whether they break answers now.

private:
    void arrive(attempt_kind kind, attempt_result result) {
        if (counts(this->arrivals, kind, result) && is_retry(this->arrivals))
            this->extra.push_back(this->now);
        record_arrival(this->arrivals, kind, result);
    }

    void handle(const effects& all) {
        for (const effect& item : all) {
            if (const auto* const prefill = std::get_if<start_prefill>(&item))
                this->did_start(*prefill);
            else if (const auto* const decode = std::get_if<start_decode>(&item))
                this->did_start(*decode);
            else if (const auto* const release = std::get_if<release_hold>(&item))
                this->events.push_back(hold_released{release->id, release->attempt, release->upstream});
        }
    }

    void did_start(const start_prefill& sent) {
        const bool is_broken = this->is_breaking && this->breaks_prompt(this->random);
        this->arrive(attempt_kind::prefill, is_broken ? attempt_result::broken : attempt_result::answered);
        if (is_broken)
            this->events.push_back(phase_failed{sent.id, sent.attempt, failure::broken, 0});
        else
            this->events.push_back(prefill_ended{sent.id, sent.attempt, 1000, 0});
    }

    void did_start(const start_decode& sent) {
        const bool is_broken = this->is_breaking && this->breaks_run(this->random);
        this->arrive(attempt_kind::run, is_broken ? attempt_result::broken : attempt_result::answered);
        // A run that breaks after its first token has used up its prompt.
        const bool has_begun = !is_broken || std::bernoulli_distribution(0.8)(this->random);
        if (has_begun)
            this->events.push_back(first_token_seen{sent.id, sent.attempt});
        if (is_broken)
            this->events.push_back(phase_failed{sent.id, sent.attempt, failure::broken, has_begun ? 3 : 0});
        else
            this->events.push_back(decode_ended{sent.id, sent.attempt, 20});
    }

    std::mt19937_64 random;
    std::bernoulli_distribution breaks_prompt;
    std::bernoulli_distribution breaks_run;
    base::time_point now{1h};
    arrival_account arrivals; ///< Of the request in progress.
    std::deque<event> events;
    std::vector<base::time_point> requests;
    std::vector<base::time_point> extra; ///< Arrivals beyond the first of each request.
};

} // namespace

TEST_CASE("engines receive no more arrivals than the router's retry budget pays for") {
    for (const auto& [prompts, runs] : {std::pair(0.3, 0.0), std::pair(0.0, 0.3), std::pair(0.25, 0.25)})
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            breaking_engines engines(seed, prompts, runs);
            // As many good ones first as fill the budget.
            for (int number = 0; number < 1'500; ++number) {
                engines.is_breaking = number >= 500;
                engines.serve(number);
            }
            INFO("prompts " << prompts << " runs " << runs << " seed " << seed << ": "
                            << engines.extra_arrivals() << " extra arrivals");
            CHECK(engines.greatest_excess() <= 0);
            CHECK(engines.extra_arrivals() > slack);
        }
}
