// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/choice_context.h>
#include <decision/instance_table.h>

#include <optional>
#include <random>

namespace postpaddle::decision {

/// The plain upstream with the lowest expected response time, if any is eligible.
[[nodiscard]] std::optional<base::upstream_id>
choose_plain(const instance_table& table, const choice_context& context, std::mt19937_64& random);

/// Updates the upstream's latency from a plain response, with its current slowdown taken out.
void record_response_time(instance& target, base::duration taken, base::time_point now);

} // namespace postpaddle::decision
