// SPDX-License-Identifier: BSD-2-Clause
#include <decision/drain_schedule.h>

#include <algorithm>

namespace postpaddle::decision {

namespace {

using namespace std::chrono_literals;

/// Subtracted from the grace period, so that the process exits before it runs out.
constexpr base::duration exit_margin = 400ms;
/// For writing the answers to the requests that could not be served. At most a quarter of the time there is.
constexpr base::duration answer_time = 300ms;
constexpr int max_answer_part = 4;

} // namespace

drain_schedule make_drain_schedule(const drain_options& options, base::time_point told_at) {
    const base::duration time = std::max<base::duration>(options.grace_period - exit_margin, 0ms);
    drain_schedule schedule;
    schedule.end = told_at + time;
    schedule.answer_by = schedule.end - std::min(answer_time, time / max_answer_part);
    schedule.stop_accepting = std::min(told_at + options.balancer_delay, schedule.answer_by);
    return schedule;
}

} // namespace postpaddle::decision
