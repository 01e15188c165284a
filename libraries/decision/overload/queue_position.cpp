// SPDX-License-Identifier: BSD-2-Clause
#include <decision/overload/queue_position.h>

#include <decision/overload/rank.h>

#include <algorithm>
#include <tuple>

namespace postpaddle::decision {

using namespace std::chrono_literals;

queue_position last_position(base::time_point now) {
    return {.since = now, .in_time_until = base::time_point::min(), .rank = max_rank};
}

bool is_ahead(const queue_position& left, const queue_position& right, base::time_point now) {
    const auto key = [now](const queue_position& position) {
        const auto improvement =
            (now - position.since) / std::max<base::duration>(1ms, position.latency_target);
        const auto rank = std::max<base::duration::rep>(0, position.rank - improvement);
        return std::tuple(now > position.in_time_until, rank, position.since);
    };
    return key(left) < key(right);
}

} // namespace postpaddle::decision
