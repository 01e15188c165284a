// SPDX-License-Identifier: BSD-2-Clause
#include <decision/warm_up.h>

#include <base/hashing.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace postpaddle::decision {

namespace {

/// Part of the limit that the chosen hosts make up on the mean. How many a hash chooses varies: of 1,000
/// hosts and 16 a second 12 are chosen on the mean, more than 24 for one upstream in 1,600, and more than 29
/// for one in 130,000 (binomial, reckoned; of 59 hosts one in 10,000 and one in five million).
constexpr double chosen_part = 0.75;
/// Between two sends of a host that has so many a second: a little longer, so that no second holds one more.
constexpr double pause_part = 1.05;

/// Whole requests a second of one host that sends at all.
double sends_of_one(const warm_up_limit& limit) {
    return std::max(1.0, std::floor(limit.per_second / std::max(1, limit.hosts)));
}

bool is_chosen(const instance& target, const warm_up_limit& limit) {
    if (limit.hosts <= limit.per_second)
        return true;
    const double part = chosen_part * limit.per_second / limit.hosts;
    const auto draw = static_cast<double>(base::hash64(target.entry.id.value, limit.host));
    return draw < part * static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

} // namespace

void note_cold(instance& target, base::duration remaining, base::time_point now) {
    target.cold_until = std::max(target.cold_until, now + remaining);
}

bool is_cold(const instance& target, base::time_point now) { return now < target.cold_until; }

bool may_send_cold(const instance& target, const warm_up_limit& limit, base::time_point now) {
    if (limit.per_second <= 0 || !is_cold(target, now))
        return true;
    return now >= target.next_cold_send && is_chosen(target, limit);
}

void note_cold_send(instance& target, const warm_up_limit& limit, base::time_point now) {
    if (limit.per_second <= 0 || !is_cold(target, now))
        return;
    const double pause = std::max(pause_part / sends_of_one(limit), 1 / limit.per_second);
    target.next_cold_send = now + base::from_seconds(pause);
}

} // namespace postpaddle::decision
