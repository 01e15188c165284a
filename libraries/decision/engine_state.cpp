// SPDX-License-Identifier: BSD-2-Clause
#include <decision/engine_state.h>

#include <algorithm>
#include <cmath>

namespace postpaddle::decision {

namespace {

using namespace std::chrono_literals;

/// Failures in a row that are taken as chance.
constexpr int tolerated_failures = 2;
constexpr auto first_pause = 500ms;
constexpr auto longest_pause = 20'000ms;
constexpr int most_doublings = 6;
/// A report older than this says nothing about others' work.
constexpr auto report_lifetime = 3'000ms;

} // namespace

engine_state make_engine(const engine_facts& facts) {
    engine_state engine;
    engine.facts = facts;
    engine.is_leaving = facts.is_leaving;
    engine.prompt_rate = make_estimate(facts.prompt_tokens_per_second);
    engine.token_seconds = make_estimate(facts.seconds_per_token);
    return engine;
}

bool is_going(const engine_state& engine) {
    return engine.is_leaving || (engine.has_report && engine.report.is_draining);
}

bool is_usable(const engine_state& engine, base::time_point now) {
    if (!engine.is_present || is_going(engine))
        return false;
    if (engine.health.failures <= tolerated_failures)
        return true;
    return now >= engine.health.aside_until && !engine.health.is_on_trial;
}

base::time_point prefill_begin(const engine_state& engine, base::time_point now) {
    const base::time_point own = std::max(now, engine.own_prefill_free);
    if (!engine.has_report || now - engine.reported_at > report_lifetime)
        return own;
    // What others had queued at the report has been worked off since, at the engine's rate.
    const double worked_off = base::to_seconds(now - engine.reported_at) * engine.prompt_rate.value;
    const double left = engine.others_prompt_tokens - worked_off;
    if (left <= 0)
        return own;
    return own + base::from_seconds(left / engine.prompt_rate.value);
}

int own_places(const engine_state& engine) {
    const int places = engine.report.decode_places > 0 && engine.has_report ? engine.report.decode_places
                                                                            : engine.facts.decode_places;
    return std::max(1, static_cast<int>(std::lround(places * engine.share)));
}

base::time_point next_place(const engine_state& engine, base::time_point now) {
    const auto promised = static_cast<int>(engine.expected_ends.size());
    const int places = own_places(engine);
    if (promised < places)
        return now;
    return std::max(now, engine.expected_ends[static_cast<std::size_t>(promised - places)]);
}

int promised_places(const engine_state& engine) { return static_cast<int>(engine.expected_ends.size()); }

void promise_place(engine_state& engine, base::time_point end) {
    engine.expected_ends.insert(std::ranges::upper_bound(engine.expected_ends, end), end);
}

void return_place(engine_state& engine, base::time_point end) {
    const auto found = std::ranges::lower_bound(engine.expected_ends, end);
    if (found != engine.expected_ends.end() && *found == end)
        engine.expected_ends.erase(found);
}

void move_place(engine_state& engine, base::time_point old_end, base::time_point new_end) {
    return_place(engine, old_end);
    promise_place(engine, new_end);
}

void hear_load(engine_state& engine, const load_report& report, base::duration age, base::time_point now) {
    engine.report = report;
    engine.has_report = true;
    engine.reported_at = now - age;
    engine.others_prompt_tokens = std::max(0.0, report.queued_prompt_tokens - engine.own_prompt_tokens);
    engine.others_decodes =
        std::max(0, report.active_decodes + report.waiting_decodes - promised_places(engine));
}

void note_failure(engine_state& engine, base::time_point now) {
    ++engine.health.failures;
    engine.health.is_on_trial = false;
    const int over = engine.health.failures - tolerated_failures;
    if (over <= 0)
        return;
    const auto pause = first_pause * (1U << static_cast<unsigned>(std::min(over - 1, most_doublings)));
    engine.health.aside_until = now + std::min<base::duration>(pause, longest_pause);
}

void note_success(engine_state& engine) { engine.health = {}; }

} // namespace postpaddle::decision
