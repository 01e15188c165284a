// SPDX-License-Identifier: BSD-2-Clause
#include <decision/send_slots.h>

#include <decision/choice_cost.h>
#include <decision/upstream_limit.h>

#include <algorithm>

namespace postpaddle::decision {

std::optional<send_slots> next_send_slot(const instance_table& table, const choice_context& context) {
    std::optional<base::time_point> first;
    double per_second = 0;
    for (const auto& [id, candidate] : table.by_id) {
        if (candidate.entry.service != context.service || candidate.state != listing::listed ||
            !can_decode(candidate) || context.excluded.contains(id) || !may_serve_version(context, candidate))
            continue;
        const auto next = next_placement_time(table, context.limits, candidate, context.now);
        if (!next)
            continue;
        first = std::min(first.value_or(*next), *next);
        if (is_limited(candidate))
            per_second += 1 / base::to_seconds(send_interval(candidate, context.limits.group));
    }
    if (!first)
        return std::nullopt;
    return send_slots{*first, per_second > 0 ? base::from_seconds(1 / per_second) : base::duration{}};
}

} // namespace postpaddle::decision
