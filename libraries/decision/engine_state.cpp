// SPDX-License-Identifier: BSD-2-Clause
#include <decision/engine_state.h>

#include <algorithm>
#include <cmath>

namespace postpaddle::decision {

namespace {

using namespace std::chrono_literals;

/// Consecutive failures that are tolerated; one more ejects the engine.
constexpr int tolerated_failures = 2;
constexpr auto base_ejection = 500ms;
constexpr auto max_ejection = 20'000ms;
constexpr int max_doublings = 6;
/// Target for the outstanding prompt work of all hosts at one engine, in seconds.
constexpr double window_seconds = 0.15;
/// Half-life, in seconds, of an observed queueing delay.
constexpr double wait_half_life = 1;
/// EWMA gain for observed queueing delays.
constexpr double wait_gain = 0.5;

} // namespace

engine_state make_engine(const engine_facts& facts) {
    engine_state engine;
    engine.facts = facts;
    engine.is_leaving = facts.is_leaving;
    engine.prompt_rate = make_estimate(facts.prompt_tokens_per_second);
    engine.token_seconds = make_estimate(facts.seconds_per_token);
    return engine;
}

bool is_leaving_or_draining(const engine_state& engine) {
    return engine.is_leaving || (engine.has_report && engine.report.is_draining);
}

bool is_usable(const engine_state& engine, base::time_point now) {
    if (!engine.is_present || is_leaving_or_draining(engine))
        return false;
    if (engine.health.failures <= tolerated_failures)
        return true;
    return now >= engine.health.ejected_until && !engine.health.is_probing;
}

base::time_point prefill_begin(const engine_state& engine, service_class kind, base::time_point now) {
    const observed_wait& wait = engine.waits.at(static_cast<std::size_t>(kind));
    const double age = base::to_seconds(now - wait.at);
    const double decayed_wait = wait.seconds * std::exp2(-age / wait_half_life);
    return now + base::from_seconds(std::max(outstanding_prompt_seconds(engine, kind), decayed_wait));
}

double outstanding_prompt_seconds(const engine_state& engine, service_class kind) {
    const double within = engine.own_prompt_tokens.front();
    const double tokens =
        kind == service_class::within_share ? within : within + engine.own_prompt_tokens.back();
    return tokens / engine.prompt_rate.value;
}

bool is_window_full(const engine_state& engine, service_class kind) {
    const double outstanding_seconds = outstanding_prompt_seconds(engine, kind);
    return outstanding_seconds > 0 && outstanding_seconds >= window_seconds * engine.share;
}

void record_prefill(engine_state& engine, service_class kind, double tokens, base::duration taken,
                    base::time_point now) {
    observed_wait& wait = engine.waits.at(static_cast<std::size_t>(kind));
    const double service = tokens / engine.prompt_rate.value;
    const double waited = std::max(0.0, base::to_seconds(taken) - service);
    wait.seconds += wait_gain * (waited - wait.seconds);
    wait.at = now;
}

int own_slots(const engine_state& engine) {
    const int slots = engine.report.decode_slots > 0 && engine.has_report ? engine.report.decode_slots
                                                                          : engine.facts.decode_slots;
    // The random rounding offset differs between hosts and engines, so that the sum over all hosts is
    // unbiased.
    return std::max(1, static_cast<int>(std::floor(slots * engine.share + engine.rounding)));
}

base::time_point next_free_slot(const engine_state& engine, service_class kind, base::time_point now) {
    const auto reserved = static_cast<int>(engine.expected_ends.size());
    const int ahead = kind == service_class::within_share ? reserved - engine.waiting_beyond_share : reserved;
    const int slots = own_slots(engine);
    if (ahead < slots && reserved < slots)
        return now;
    const int position = std::max(0, ahead - slots);
    return std::max(now, engine.expected_ends[static_cast<std::size_t>(position)]);
}

int reserved_slots(const engine_state& engine) { return static_cast<int>(engine.expected_ends.size()); }

void reserve_slot(engine_state& engine, base::time_point end) {
    engine.expected_ends.insert(std::ranges::upper_bound(engine.expected_ends, end), end);
}

void release_slot(engine_state& engine, base::time_point end) {
    const auto found = std::ranges::lower_bound(engine.expected_ends, end);
    if (found != engine.expected_ends.end() && *found == end)
        engine.expected_ends.erase(found);
}

void move_reservation(engine_state& engine, base::time_point old_end, base::time_point new_end) {
    release_slot(engine, old_end);
    reserve_slot(engine, new_end);
}

void apply_load_report(engine_state& engine, const load_report& report, base::duration age,
                       base::time_point now) {
    const base::time_point reported_at = now - age;
    if (engine.has_report && reported_at < engine.reported_at)
        return;
    engine.report = report;
    engine.has_report = true;
    engine.reported_at = reported_at;
    engine.other_hosts_decodes =
        std::max(0, report.active_decodes + report.waiting_decodes - reserved_slots(engine));
}

void record_failure(engine_state& engine, base::time_point now) {
    ++engine.health.failures;
    engine.health.is_probing = false;
    const int excess_failures = engine.health.failures - tolerated_failures;
    if (excess_failures <= 0)
        return;
    const auto ejection =
        base_ejection * (1U << static_cast<unsigned>(std::min(excess_failures - 1, max_doublings)));
    engine.health.ejected_until = now + std::min<base::duration>(ejection, max_ejection);
}

void record_process_exit(engine_state& engine, base::time_point now) {
    engine.health.failures = std::max(engine.health.failures, tolerated_failures);
    record_failure(engine, now);
}

void record_success(engine_state& engine) { engine.health = {}; }

} // namespace postpaddle::decision
