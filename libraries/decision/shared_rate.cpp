// SPDX-License-Identifier: BSD-2-Clause
#include <decision/shared_rate.h>

#include <base/hashing.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace postpaddle::decision {

rate_plan plan_rate(const shared_rate& rate, int hosts) {
    // A participant may send one request more per window than its share of the rate, so their number is
    // bounded.
    static constexpr double rate_fraction = 0.5;
    static constexpr double min_participants = 3;
    const double per_window = rate.per_second * base::to_seconds(rate.window);
    const double participants =
        std::min<double>(hosts, std::floor(rate_fraction * per_window) + min_participants);
    return {.participants = participants, .interval = base::from_seconds(participants / rate.per_second)};
}

bool is_participant(const base::upstream_id& upstream, double participants, const rate_group& group) {
    const double first = static_cast<double>(base::hash64(upstream.value)) /
                         static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    const double offset = group.position - first;
    return offset - std::floor(offset) < participants / group.hosts;
}

} // namespace postpaddle::decision
