// SPDX-License-Identifier: BSD-2-Clause
#include <decision/upstream_limit.h>

#include <algorithm>
#include <cmath>

namespace postpaddle::decision {

namespace {

using namespace std::chrono_literals;

/// Span over which limits are counted.
constexpr base::duration limit_window = 4s;
/// Lower bound of a limit, so that the upstream still gets an occasional request that shows whether the limit
/// holds.
constexpr double min_per_second = 0.01;
/// The number of participants doubles each time the limit has not been advertised for this long, or for the
/// time that four requests take, whichever is longer.
constexpr base::duration doubling_time = 10s;
constexpr double doubling_requests = 4;

shared_rate rate_of(const instance& target) {
    return {std::max(min_per_second, target.limit.per_second.value_or(0)), limit_window};
}

/// Factor by which the number of participants has grown since the limit was last advertised.
double participant_factor(const instance& target, base::time_point now) {
    const double doubling_seconds =
        std::max(base::to_seconds(doubling_time), doubling_requests / rate_of(target).per_second);
    return std::exp2(
        std::max(0.0, std::floor(base::to_seconds(now - target.limit.advertised_at) / doubling_seconds)));
}

bool update_limit(advertised_limit& known, std::optional<double> per_second, base::time_point advertised_at,
                  base::time_point now) {
    const bool has_changed = known.per_second != per_second;
    known.per_second = per_second;
    known.advertised_at = advertised_at;
    if (has_changed)
        known.changed = now;
    return has_changed;
}

} // namespace

bool record_limit(instance& target, std::optional<double> per_second, base::time_point sent,
                  base::time_point now) {
    advertised_limit& known = target.limit;
    const bool was_ever_limited = known.changed != base::time_point{};
    if (!per_second && (!was_ever_limited || sent <= known.advertised_at))
        return false;
    known.advertised_here_at = now;
    return update_limit(known, per_second, now, now);
}

bool receive_limit(instance& target, std::optional<double> per_second, base::time_point advertised_at,
                   base::time_point now) {
    advertised_limit& known = target.limit;
    if (advertised_at > known.advertised_at)
        return update_limit(known, per_second, std::min(advertised_at, now), now);
    // The sender missed the newer state: mark it as changed so that it is announced again.
    if (known.per_second != per_second)
        known.changed = now;
    return false;
}

bool is_limited(const instance& target) { return target.limit.per_second.has_value(); }

base::duration send_interval(const instance& target, const rate_group& group) {
    return plan_rate(rate_of(target), group.hosts).interval;
}

std::optional<base::time_point> next_limited_send(const instance& target, const rate_group& group,
                                                  base::time_point now) {
    if (!is_limited(target))
        return now;
    const rate_plan plan = plan_rate(rate_of(target), group.hosts);
    if (!is_participant(target.entry.id, plan.participants * participant_factor(target, now), group))
        return std::nullopt;
    return std::max(now, target.last_send + plan.interval);
}

} // namespace postpaddle::decision
