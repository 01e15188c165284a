// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/peers/pace_exchange.h>

#include <base/hashing.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;

/// How long a measurement is reported: two periodic reports, as the first may be lost.
constexpr base::duration reported_lifetime = 2s;
/// Measurements of an engine with the same value whose times differ by less than this are the same one: a
/// report may be delayed by that much on a slow host.
constexpr base::duration same_measurement_tolerance = 1s;
/// Stands for a measured value of 1: the value 1 in a report means that nothing was measured.
constexpr double measured_mean = 1.01;
constexpr double percent = 100;
/// Streams from which the service's mean interval between events must have been learned.
constexpr int min_streams_timed = 20;
/// Interval of the timer that measures this host's delays: a third of the shortest prefill or less.
constexpr base::duration delay_check_interval = 25ms;
/// The same while nothing can be measured: without requests or engines, or with the exchange off.
constexpr base::duration idle_interval = 250ms;
/// How often decisions take over what was learned, and the gauges are set.
constexpr base::duration apply_interval = 1s;

std::string labels(const std::string& service, const char* stage) {
    return "{service=" + quoted_label(service) + ",stage=\"" + stage + "\"}";
}

bool is_recent(const decision::own_measurement& own, base::time_point now) {
    return own.measured_at != base::time_point{} && now - own.measured_at <= reported_lifetime;
}

/// Whether other hosts should hear of the measurement: it differs, or contradicts a value that does.
bool is_worth_reporting(const decision::own_measurement& own, const decision::merged_pace& merged,
                        base::time_point now) {
    return is_recent(own, now) &&
           (decision::is_notable(own.value) || decision::is_notable(decision::current_pace(merged, now)));
}

/// The measurement as it appears in reports.
double reported_value(double measured) {
    const double rounded = std::round(measured * percent) / percent;
    return rounded == 1 ? measured_mean : rounded;
}

/// Adds a row for each kind, as they have ages of their own; the value of the other kind is 1.
void add_rows(std::vector<host::observed_pace>& rows, const decision::instance& known, base::time_point now) {
    const decision::learned_pace& pace = known.pace;
    const host::instance_key key = host::key_of(known.entry.id, known.entry.start_time_ms);
    if (is_worth_reporting(pace.own_prefill, pace.prefill, now))
        rows.push_back({.key = key,
                        .pace = {.prefill = reported_value(pace.own_prefill.value)},
                        .age = now - pace.own_prefill.measured_at});
    if (is_worth_reporting(pace.own_decode, pace.decode, now))
        rows.push_back({.key = key,
                        .pace = {.decode = reported_value(pace.own_decode.value)},
                        .age = now - pace.own_decode.measured_at});
}

/// The previous report of the sender, as far as its measurements may be repeated.
struct previous_report {
    const host::received_report* received = nullptr;

    [[nodiscard]] bool has(const host::observed_pace& row, double decision::engine_pace::*kind,
                           base::time_point measured_at) const {
        if (this->received == nullptr)
            return false;
        return std::ranges::any_of(this->received->report.paces, [&](const host::observed_pace& known) {
            const base::duration apart = measured_at - (this->received->received_at - known.age);
            return known.key == row.key && known.pace.*kind == row.pace.*kind &&
                   std::chrono::abs(apart) < same_measurement_tolerance;
        });
    }
};

void merge_reported(gateway_state& state, decision::merged_pace& merged, double value,
                    base::time_point measured_at, const std::string& service, std::uint64_t source) {
    const bool is_used = decision::merge_measurement(merged, value, measured_at,
                                                     decision::measurement_confidence::needs_confirmation,
                                                     state.clock->now(), source);
    state.metrics->count((is_used ? "paces_received_total{service=" : "paces_ignored_total{service=") +
                         quoted_label(service) + "}");
}

/// Whether a measurement that began at `begin` shows the engine's time and not this host's delays.
bool may_measure(const gateway_request& request, base::time_point begin) {
    const gateway_state& state = *request.state;
    if (!state.process->policy.exchange_pace)
        return false;
    const bool is_on_time = decision::is_on_time(state.timer_delays, begin, state.clock->now());
    if (!is_on_time)
        state.metrics->count("paces_not_measured_total{service=" + quoted_label(request.service) + "}");
    return is_on_time;
}

/// Returns whether the measurement was used.
bool record_own(const gateway_request& request, decision::merged_pace& merged, decision::own_measurement& own,
                double value, decision::measurement_confidence confidence, const char* stage) {
    const base::time_point now = request.state->clock->now();
    if (!decision::merge_measurement(merged, value, now, confidence, now))
        return false;
    own = {.value = std::clamp(value, decision::min_pace, decision::max_pace), .measured_at = now};
    request.state->metrics->count("paces_measured_total" + labels(request.service, stage));
    return true;
}

void set_gauges(gateway_metrics& metrics, const std::string& labels, const decision::pace_range& range) {
    metrics.set("engine_pace_fastest" + labels, range.fastest);
    metrics.set("engine_pace_slowest" + labels, range.slowest);
    metrics.set("engines_with_own_pace" + labels, range.with_own_pace);
}

/// The range of engines that are all alike.
constexpr decision::pace_range even_range = {.fastest = 1, .slowest = 1};

/// Sets the gauges of a stage, and resets those that were set before if nothing is measured any more.
void update_gauges(gateway_metrics& metrics, const std::string& labels, const decision::pace_range& before,
                   const decision::pace_range& now) {
    if (now.measured > 0)
        set_gauges(metrics, labels, now);
    else if (before.measured > 0)
        set_gauges(metrics, labels, even_range);
}

void update_gauges(gateway_metrics& metrics, const decision::applied_paces& before,
                   const decision::applied_paces& now) {
    const auto ranges_in = [](const decision::applied_paces& applied, const std::string& service) {
        const auto found = applied.ranges.find(service);
        return found == applied.ranges.end() ? decision::service_pace_ranges{} : found->second;
    };
    std::set<std::string> services;
    for (const decision::applied_paces* const applied : {&before, &now})
        for (const auto& [service, ranges] : applied->ranges)
            services.insert(service);
    for (const std::string& service : services) {
        const decision::service_pace_ranges old = ranges_in(before, service);
        const decision::service_pace_ranges next = ranges_in(now, service);
        update_gauges(metrics, labels(service, "prefill"), old.prefill, next.prefill);
        update_gauges(metrics, labels(service, "decode"), old.decode, next.decode);
    }
}

} // namespace

std::vector<host::observed_pace> paces_to_report(gateway_state& state) {
    std::vector<host::observed_pace> rows;
    if (!state.process->policy.exchange_pace)
        return rows;
    const base::time_point now = state.clock->now();
    std::erase_if(state.measured_engines, [&](const base::upstream_id& id) {
        const decision::instance* const known = decision::find_instance(state.instances, id);
        return known == nullptr ||
               (!is_recent(known->pace.own_prefill, now) && !is_recent(known->pace.own_decode, now));
    });
    for (const base::upstream_id& id : state.measured_engines) {
        const decision::instance& known = *decision::find_instance(state.instances, id);
        // No host chooses an engine that leaves.
        if (known.state == decision::listing::listed || known.state == decision::listing::unlisted)
            add_rows(rows, known, now);
    }
    std::ranges::sort(rows, [](const host::observed_pace& left, const host::observed_pace& right) {
        return left.age < right.age;
    });
    if (rows.size() > max_reported_paces)
        rows.resize(max_reported_paces);
    return rows;
}

void apply_reported_paces(gateway_state& state, const host::load_report& report) {
    const base::time_point now = state.clock->now();
    if (!state.process->policy.exchange_pace || report.paces.empty() ||
        !host::is_newer(state.loads, report, now))
        return;
    const auto known = state.loads.by_host.find(report.host);
    const previous_report previous = {known == state.loads.by_host.end() ? nullptr : &known->second};
    const std::uint64_t source = base::hash64(report.host.value);
    for (const host::observed_pace& row : report.paces) {
        const base::time_point measured_at = now - row.age;
        const auto is_new = [&](double decision::engine_pace::*kind) {
            return row.pace.*kind != 1 && !previous.has(row, kind, measured_at);
        };
        const bool has_prefill = is_new(&decision::engine_pace::prefill);
        const bool has_decode = is_new(&decision::engine_pace::decode);
        // Most rows repeat a measurement.
        if (!has_prefill && !has_decode)
            continue;
        decision::instance* const target = host::find_by_key(state.instances, state.loads, row.key);
        // The key of an earlier start may still be known.
        if (target == nullptr || host::key_of(target->entry.id, target->entry.start_time_ms) != row.key)
            continue;
        if (has_prefill)
            merge_reported(state, target->pace.prefill, row.pace.prefill, measured_at, target->entry.service,
                           source);
        if (has_decode)
            merge_reported(state, target->pace.decode, row.pace.decode, measured_at, target->entry.service,
                           source);
    }
}

void record_prefill_pace(const gateway_request& request, decision::instance& target,
                         const decision::prefill_sample& sample) {
    const base::time_point now = request.state->clock->now();
    const auto bounds = decision::measure_prefill(profile_of(request).speed, sample.prompt_tokens,
                                                  sample.tokens_ahead, base::to_seconds(sample.taken));
    if (!bounds || !may_measure(request, now - sample.taken))
        return;
    const double known = decision::current_pace(target.pace.prefill, now);
    // The known value must not confirm itself.
    if (decision::is_explained(*bounds, known))
        return;
    const double value = decision::closest_within(*bounds, known);
    if (record_own(request, target.pace.prefill, target.pace.own_prefill, value,
                   decision::measurement_confidence::needs_confirmation, "prefill"))
        request.state->measured_engines.insert(target.entry.id);
}

void record_decode_pace(const gateway_request& request, const base::upstream_id& engine, double event_seconds,
                        base::time_point begin) {
    const decision::service_profile& profile = profile_of(request);
    decision::instance* const target = decision::find_instance(request.state->instances, engine);
    if (target == nullptr || profile.streams_timed < min_streams_timed || !may_measure(request, begin))
        return;
    if (record_own(request, target->pace.decode, target->pace.own_decode,
                   event_seconds / profile.event_seconds.value, decision::measurement_confidence::certain,
                   "decode"))
        request.state->measured_engines.insert(engine);
}

void pace_exchange::start() { this->did_fire_timer(); }

void pace_exchange::did_fire_timer() {
    const base::time_point now = this->state->clock->now();
    if (now - this->applied_at >= apply_interval)
        this->apply(now);
    const base::duration next = this->interval();
    decision::record_timer(this->state->timer_delays, now, now + next);
    this->timer.expires_after(next);
    this->timer.async_wait([this](const wire::error_code& error) {
        if (!error)
            this->did_fire_timer();
    });
}

base::duration pace_exchange::interval() const {
    const bool may_measure = this->state->process->policy.exchange_pace && this->applied.has_engines &&
                             this->state->requests_in_progress > 0;
    return may_measure ? delay_check_interval : idle_interval;
}

void pace_exchange::apply(base::time_point now) {
    this->applied_at = now;
    const decision::applied_paces before = std::move(this->applied);
    this->applied = {};
    if (this->state->process->policy.exchange_pace)
        this->applied = decision::apply_learned_paces(this->state->instances, now);
    else if (before.has_engines)
        decision::ignore_learned_paces(this->state->instances);
    update_gauges(*this->state->metrics, before, this->applied);
}

} // namespace postpaddle::gateway
