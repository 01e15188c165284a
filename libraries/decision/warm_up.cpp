// SPDX-License-Identifier: BSD-2-Clause
#include <decision/warm_up.h>

#include <algorithm>

namespace postpaddle::decision {

namespace {

using namespace std::chrono_literals;

/// Span over which the warm-up rate is counted.
constexpr base::duration cold_window = 1s;

} // namespace

void record_cold(instance& target, base::duration remaining, base::time_point now) {
    target.cold_until = std::max(target.cold_until, now + remaining);
}

bool is_cold(const instance& target, base::time_point now) { return now < target.cold_until; }

base::time_point next_cold_send(const instance& target, const warm_up_limit& limit, base::time_point now) {
    if (limit.per_second <= 0 || !is_cold(target, now))
        return now;
    const rate_plan plan = plan_rate({limit.per_second, cold_window}, limit.group.hosts);
    if (!is_participant(target.entry.id, plan.participants, limit.group))
        return target.cold_until;
    return std::clamp(target.last_send + plan.interval, now, target.cold_until);
}

bool may_send_cold(const instance& target, const warm_up_limit& limit, base::time_point now) {
    return next_cold_send(target, limit, now) <= now;
}

} // namespace postpaddle::decision
