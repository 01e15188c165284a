// SPDX-License-Identifier: BSD-2-Clause
#include <decision/overload/upstream_pace.h>

#include <decision/choice_cost.h>
#include <decision/engine_speed.h>
#include <decision/instance_table.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

namespace postpaddle::decision {

namespace {

using namespace std::chrono_literals;

/// Difference from 1 that changes decisions.
constexpr double notable_difference = 0.2;
/// Age up to which a value counts in full. An engine that serves no stream of this host for as long is
/// usually measured by another one.
constexpr base::duration full_lifetime = 10s;
/// Age at which a value has returned to 1: the engine is then tried again.
constexpr base::duration lifetime = 30s;
/// Weight of the initial value of 1, so that a single measurement does not yet count for much.
constexpr double initial_weight = 2;
/// Bound of the weight: an engine that recovers gets its work back over some ten measurements.
constexpr double max_weight = 6;
/// A measurement of this multiple of the value takes effect at once.
constexpr double jump_factor = 2;
/// An unconfirmed measurement counts for at most this multiple of the value.
constexpr double unconfirmed_factor = 1.5;
/// How long a measurement can confirm the next one.
constexpr base::duration confirmation_lifetime = 5s;
/// Weight of the service's learned speed from which on prefills are compared with it: 6 to 45 prefills.
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

void apply_learned_paces(instance_table& table, base::time_point now) {
    // Saves the sums where nothing is measured, as with plain upstreams only.
    if (std::ranges::none_of(table.by_id, [](const auto& item) { return is_measured(item.second.pace); }))
        return;
    std::map<std::string, service_paces> by_service;
    for (const auto& [id, known] : table.by_id) {
        if (known.state != listing::listed || known.entry.stage == settings::engine_stage::none)
            continue;
        service_paces& sums = by_service[known.entry.service];
        if (can_prefill(known))
            sums.prefill.add(current_pace(known.pace.prefill, now));
        if (can_decode(known))
            sums.decode.add(current_pace(known.pace.decode, now));
    }
    for (auto& [id, known] : table.by_id) {
        const auto sums = by_service.find(known.entry.service);
        if (sums == by_service.end()) {
            known.pace.in_use = {};
            continue;
        }
        known.pace.in_use = {
            .prefill = pace_in_use(current_pace(known.pace.prefill, now), sums->second.prefill.is_uneven()),
            .decode = pace_in_use(current_pace(known.pace.decode, now), sums->second.decode.is_uneven())};
    }
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
