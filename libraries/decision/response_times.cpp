// SPDX-License-Identifier: BSD-2-Clause
#include <decision/response_times.h>

#include <algorithm>

namespace postpaddle::decision {

namespace {

/// Responses that must have been timed before another one's time is expected from theirs.
constexpr int min_timed = 8;
/// Weight of a shorter response: the longest one of some fifty counts.
constexpr double decay = 0.02;
/// By how much a response may be slower than the slowest one seen.
constexpr double margin = 1.25;

} // namespace

void record_response(response_times& times, base::duration taken) {
    times.timed = std::min(times.timed + 1, min_timed);
    const base::duration lowered = times.longest - base::scaled(times.longest - taken, decay);
    times.longest = std::max(taken, lowered);
}

std::optional<base::duration> longest_response(const response_times& times) {
    if (times.timed < min_timed)
        return std::nullopt;
    return base::scaled(times.longest, margin);
}

} // namespace postpaddle::decision
