// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace postpaddle::decision {

struct engine_speed;
struct instance_table;

/// Processing times of one start of an engine relative to its service's mean, as one host learned them.
/// Above 1 is slower.
struct engine_pace {
    double prefill = 1; ///< Of prompts.
    double decode = 1;  ///< Between two events of a stream.

    bool operator==(const engine_pace&) const = default;
};

/// Range of valid relative processing times. Others come from corrupt reports.
inline constexpr double min_pace = 0.05;
inline constexpr double max_pace = 20;

/// A relative processing time, merged from the measurements of all hosts.
struct merged_pace {
    double value = 1;               ///< When last measured.
    double weight = 0;              ///< Of the measurements in it, when last measured.
    double last_measured = 1;       ///< Latest measurement, which may confirm the next one.
    std::uint64_t last_source = 0;  ///< Host of the latest measurement.
    base::time_point measured_at{}; ///< Time of the latest measurement; unset if there is none.

    bool operator==(const merged_pace&) const = default;
};

/// This host's latest measurement, to report to the other hosts.
struct own_measurement {
    double value = 1;
    base::time_point measured_at{}; ///< Unset if there is none.

    bool operator==(const own_measurement&) const = default;
};

/// What is known about the processing times of one start of an engine.
struct learned_pace {
    merged_pace prefill;
    merged_pace decode;
    own_measurement own_prefill;
    own_measurement own_decode;
    engine_pace in_use; ///< As used by decisions, see `apply_learned_paces`.

    bool operator==(const learned_pace&) const = default;
};

/// How far a single measurement can be trusted.
enum class measurement_confidence {
    needs_confirmation, ///< A prefill, which may have queued unnoticed, or a measurement of another host.
    certain,            ///< This host's own mean over several events.
};

/// Source of this host's own measurements; a hash of the name stands for each other host.
inline constexpr std::uint64_t own_source = 0;

/// Whether engines with these relative processing times differ enough to be treated differently: by more than
/// a fifth.
[[nodiscard]] bool is_notable(double pace);

/// The merged value, which returns to 1 when there are no new measurements.
[[nodiscard]] double current_pace(const merged_pace& merged, base::time_point now);

/// Merges a measurement. Values that are not positive numbers and measurements that have expired are ignored;
/// returns whether it was used.
///
/// A value twice as high as before takes effect at once, if it is certain or a previous one confirms it: one
/// of another host, or one of this host's own.
bool merge_measurement(merged_pace& merged, double measured, base::time_point measured_at,
                       measurement_confidence confidence, base::time_point now,
                       std::uint64_t source = own_source);

/// Bounds of the relative prefill time that explain a measured one.
struct pace_bounds {
    double lowest = 1;
    double highest = 1;

    bool operator==(const pace_bounds&) const = default;
};

/// Relative prefill time of a prompt that took `seconds`, with `tokens_ahead` not yet prefilled when it was
/// sent. These are bounds, as part of the prompt at the head of the queue may have been prefilled already.
/// Empty while the service's speed is not known well enough.
[[nodiscard]] std::optional<pace_bounds> measure_prefill(const engine_speed& speed, double prompt_tokens,
                                                         double tokens_ahead, double seconds);

/// The value within the bounds that is closest to the known one.
[[nodiscard]] double closest_within(const pace_bounds& bounds, double known);

/// Whether bounds that are not exact contain the known value: the prefill then shows nothing new.
[[nodiscard]] bool is_explained(const pace_bounds& bounds, double known);

/// Extremes of the known paces of one service and stage.
struct pace_range {
    double fastest = max_pace;
    double slowest = min_pace;
    int measured = 0;      ///< Number of measured engines.
    int with_own_pace = 0; ///< Number of engines with a pace in use.

    void add(double pace, double pace_in_use);
};

struct service_pace_ranges {
    pace_range prefill;
    pace_range decode;
};

/// What `apply_learned_paces` found.
struct applied_paces {
    bool has_engines = false; ///< Whether the table has any engine.
    /// By service, of the listed engines.
    std::map<std::string, service_pace_ranges, std::less<>> ranges{};
};

/// Sets the paces used by decisions. They are those of engines that differ from 1 by more than a fifth, in
/// services with an engine that differs from the mean of its service and stage by more than a fifth. All
/// others are 1, so that nothing changes where engines are alike. So are those of engines of other cells, as
/// few of their measurements arrive here.
applied_paces apply_learned_paces(instance_table& table, base::time_point now);

/// Resets the paces used by decisions.
void ignore_learned_paces(instance_table& table);

/// Delays of a host's own timers. A host that is late must not attribute its delay to engines.
struct timer_delays {
    struct delay {
        base::time_point fired{};
        base::duration late{};
    };
    std::deque<delay> recent; ///< Oldest first.
    base::time_point next_due = base::time_point::max();
};

/// Records that the timer fired, and when it is due next.
void record_timer(timer_delays& delays, base::time_point fired, base::time_point next_due);

/// Whether the host's delays since `begin` are small compared with the time since then.
[[nodiscard]] bool is_on_time(const timer_delays& delays, base::time_point begin, base::time_point now);

} // namespace postpaddle::decision
