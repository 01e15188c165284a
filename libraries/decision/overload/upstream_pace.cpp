// SPDX-License-Identifier: BSD-2-Clause
#include <decision/overload/upstream_pace.h>

#include <decision/choice_cost.h>
#include <decision/engine_speed.h>
#include <decision/instance_table.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <string_view>
#include <vector>

namespace postpaddle::decision {

namespace {

using namespace std::chrono_literals;

/// Difference from 1 that changes decisions.
constexpr double notable_difference = 0.2;
/// Age up to which a value counts in full. Within this time some host usually measures the engine again.
constexpr base::duration full_lifetime = 10s;
/// Age at which a value has returned to 1: the engine is then tried again.
constexpr base::duration lifetime = 30s;
/// Weight of the initial value of 1, so that a single measurement does not yet count for much.
constexpr double initial_weight = 2;
/// Bound of the weight: an engine that recovers gets its work back over some ten measurements.
constexpr double max_weight = 6;
/// A measurement of this multiple of the value takes effect at once.
constexpr double jump_factor = 2;
/// An unconfirmed measurement counts for at most this multiple of the value, so that one wrong host cannot
/// take an engine out of use.
constexpr double unconfirmed_factor = 1.5;
/// How long a measurement can confirm the next one.
constexpr base::duration confirmation_lifetime = 5s;
/// `engine_speed::weight` from which on prefills are compared with the service's speed. It is reached after 6
/// to 45 prefills, as those that take longer than expected weigh less.
constexpr double min_speed_weight = 6;
/// How long timer delays are kept: longer than the events of a measurement take.
constexpr base::duration delay_lifetime = 10s;
/// Part of a measured time that the host's own delays may account for.
constexpr double max_delay_fraction = 0.1;
/// Delays below this are normal for a timer.
constexpr base::duration min_delay = 2ms;

/// 1 for a new value, falling to 0 at the end of its lifetime.
double freshness(base::time_point measured_at, base::time_point now) {
    if (measured_at == base::time_point{})
        return 0;
    const double left = base::to_seconds(lifetime - (now - measured_at));
    return std::clamp(left / base::to_seconds(lifetime - full_lifetime), 0.0, 1.0);
}

/// Whether the latest measurement confirms one of that source. This host's own prefills confirm each other; a
/// wrong value of another host would be repeated by it.
bool is_confirmed(const merged_pace& merged, double least, base::time_point measured_at,
                  std::uint64_t source) {
    const bool is_other_source = source == own_source || merged.last_source != source;
    return is_other_source && merged.measured_at != base::time_point{} &&
           measured_at - merged.measured_at <= confirmation_lifetime && merged.last_measured >= least;
}

/// Relative processing times of the engines of one service and stage.
struct pace_sum {
    double total = 0;
    double lowest = max_pace;
    double highest = min_pace;
    int engines = 0;

    void add(double pace) {
        this->total += pace;
        this->lowest = std::min(this->lowest, pace);
        this->highest = std::max(this->highest, pace);
        ++this->engines;
    }
    [[nodiscard]] bool is_uneven() const {
        const double mean = this->engines > 0 ? this->total / this->engines : 1;
        return this->engines > 0 && (is_notable(this->lowest / mean) || is_notable(this->highest / mean));
    }
};

struct service_paces {
    pace_sum prefill;
    pace_sum decode;
};

bool is_measured(const learned_pace& pace) { return pace.prefill.weight > 0 || pace.decode.weight > 0; }

double pace_in_use(double pace, bool is_uneven) { return is_uneven && is_notable(pace) ? pace : 1; }

void add_paces(service_paces& sums, const instance& engine, base::time_point now) {
    if (can_prefill(engine))
        sums.prefill.add(current_pace(engine.pace.prefill, now));
    if (can_decode(engine))
        sums.decode.add(current_pace(engine.pace.decode, now));
}

void use_paces(instance& engine, const service_paces& sums, base::time_point now) {
    const learned_pace& pace = engine.pace;
    engine.pace.in_use = {.prefill = pace_in_use(current_pace(pace.prefill, now), sums.prefill.is_uneven()),
                          .decode = pace_in_use(current_pace(pace.decode, now), sums.decode.is_uneven())};
}

void add_ranges(service_pace_ranges& ranges, const instance& engine, base::time_point now) {
    const learned_pace& pace = engine.pace;
    if (pace.prefill.weight > 0)
        ranges.prefill.add(current_pace(pace.prefill, now), pace.in_use.prefill);
    if (pace.decode.weight > 0)
        ranges.decode.add(current_pace(pace.decode, now), pace.in_use.decode);
}

} // namespace

bool is_notable(double pace) { return std::abs(pace - 1) > notable_difference; }

double current_pace(const merged_pace& merged, base::time_point now) {
    return 1 + (merged.value - 1) * freshness(merged.measured_at, now);
}

bool merge_measurement(merged_pace& merged, double measured, base::time_point measured_at,
                       measurement_confidence confidence, base::time_point now, std::uint64_t source) {
    measured_at = std::min(measured_at, now);
    const double sample_weight = freshness(measured_at, now);
    if (!std::isfinite(measured) || measured <= 0 || sample_weight <= 0)
        return false;
    measured = std::clamp(measured, min_pace, max_pace);
    const double known = current_pace(merged, now);
    const double weight = std::max(initial_weight, merged.weight * freshness(merged.measured_at, now));
    const double jump = jump_factor * known;
    const bool is_certain = confidence == measurement_confidence::certain;
    if (measured >= jump && (is_certain || is_confirmed(merged, jump, measured_at, source))) {
        merged.value = is_certain ? measured : std::min(measured, merged.last_measured);
        merged.weight = initial_weight;
    } else {
        const double counted = is_certain ? measured : std::min(measured, unconfirmed_factor * known);
        merged.value = (weight * known + sample_weight * counted) / (weight + sample_weight);
        merged.weight = std::min(max_weight, weight + sample_weight);
    }
    merged.last_measured = measured;
    merged.last_source = source;
    merged.measured_at = std::max(merged.measured_at, measured_at);
    return true;
}

std::optional<pace_bounds> measure_prefill(const engine_speed& speed, double prompt_tokens,
                                           double tokens_ahead, double seconds) {
    if (speed.weight < min_speed_weight || !std::isfinite(seconds) || seconds <= 0 || prompt_tokens <= 0)
        return std::nullopt;
    const double alone = unqueued_prefill_seconds(speed, prompt_tokens);
    // The size of the prompt at the head of the queue is not known; prompts of a service are of similar size.
    const double certainly_ahead = std::max(0.0, tokens_ahead - prompt_tokens);
    return pace_bounds{.lowest = seconds / (alone + seconds_for_tokens(speed, tokens_ahead)),
                       .highest = seconds / (alone + seconds_for_tokens(speed, certainly_ahead))};
}

double closest_within(const pace_bounds& bounds, double known) {
    return std::clamp(known, bounds.lowest, bounds.highest);
}

bool is_explained(const pace_bounds& bounds, double known) {
    return bounds.lowest < bounds.highest && bounds.lowest <= known && known <= bounds.highest;
}

void pace_range::add(double pace, double pace_in_use) {
    this->fastest = std::min(this->fastest, pace);
    this->slowest = std::max(this->slowest, pace);
    ++this->measured;
    this->with_own_pace += pace_in_use < 1 || pace_in_use > 1 ? 1 : 0;
}

applied_paces apply_learned_paces(instance_table& table, base::time_point now) {
    applied_paces applied;
    std::vector<instance*> engines;
    std::map<std::string_view, service_paces> by_service;
    for (auto& [id, known] : table.by_id) {
        known.pace.in_use = {};
        if (known.entry.stage == settings::engine_stage::none)
            continue;
        applied.has_engines = true;
        if (known.is_remote)
            continue;
        engines.push_back(&known);
        if (known.state == listing::listed)
            add_paces(by_service[known.entry.service], known, now);
    }
    for (instance* const engine : engines) {
        const auto sums = by_service.find(engine->entry.service);
        // Only measured engines can have a pace in use.
        if (sums == by_service.end() || !is_measured(engine->pace))
            continue;
        use_paces(*engine, sums->second, now);
        if (engine->state == listing::listed)
            add_ranges(applied.ranges[engine->entry.service], *engine, now);
    }
    return applied;
}

void ignore_learned_paces(instance_table& table) {
    for (auto& [id, known] : table.by_id)
        known.pace.in_use = {};
}

void record_timer(timer_delays& delays, base::time_point fired, base::time_point next_due) {
    const base::duration late = fired - delays.next_due;
    if (delays.next_due != base::time_point::max() && late >= min_delay)
        delays.recent.push_back({fired, late});
    while (!delays.recent.empty() && fired - delays.recent.front().fired > delay_lifetime)
        delays.recent.pop_front();
    delays.next_due = next_due;
}

bool is_on_time(const timer_delays& delays, base::time_point begin, base::time_point now) {
    base::duration late{};
    for (const timer_delays::delay& delay : delays.recent)
        if (delay.fired >= begin)
            late += delay.late;
    if (now > delays.next_due && now - delays.next_due >= min_delay)
        late += now - delays.next_due;
    return base::to_seconds(late) <= max_delay_fraction * base::to_seconds(now - begin);
}

} // namespace postpaddle::decision
