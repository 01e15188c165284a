// SPDX-License-Identifier: BSD-2-Clause
#include <decision/caller_timeouts.h>

#include <algorithm>
#include <cmath>

namespace postpaddle::decision {

namespace {

using std::chrono::milliseconds;

/// Smaller differences may come from network delay.
constexpr milliseconds min_difference{200};
/// Samples needed to estimate the spread of timeouts.
constexpr std::size_t min_samples = 5;

/// Range of remaining time that first attempts report: `usual - spread` to `usual + spread`.
struct timeout_range {
    double usual = 0; ///< Milliseconds, like `spread`.
    double spread = 0;
};

/// Estimates the range from the upper part of the samples: retries have less time left and sort to the lower
/// part. For uniformly distributed first attempts, the 60th to 90th percentiles cover three tenths of the
/// range, and the upper quartile lies half of the spread above the middle.
timeout_range estimate_range(const caller_timeouts& timeouts) {
    static constexpr double percentile_span = 0.6;
    static constexpr double quartile_offset = 0.5;
    auto values = timeouts.recent;
    const std::size_t count = std::min(timeouts.recorded, values.size());
    std::sort(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(count));
    const auto quantile = [&](double fraction) {
        return static_cast<double>(
            values[static_cast<std::size_t>(fraction * static_cast<double>(count))].count());
    };
    const double spread = (quantile(0.9) - quantile(0.6)) / percentile_span;
    return {.usual = quantile(0.75) - quartile_offset * spread, .spread = spread};
}

} // namespace

void record_time_left(caller_timeouts& timeouts, milliseconds left) {
    timeouts.recent[timeouts.recorded % timeouts.recent.size()] = left;
    ++timeouts.recorded;
}

base::duration time_since_first_attempt(const caller_timeouts& timeouts, milliseconds left) {
    // Widens the estimated spread by half to allow for its sampling error: with the few samples kept, the
    // spread is known to about a quarter.
    static constexpr double spread_margin = 1.5;
    if (timeouts.recorded < min_samples)
        return {};
    const timeout_range first = estimate_range(timeouts);
    const double difference = first.usual - static_cast<double>(left.count());
    const double threshold = static_cast<double>(min_difference.count()) + spread_margin * first.spread;
    return difference < threshold ? base::duration{} : base::duration(milliseconds(std::llround(difference)));
}

} // namespace postpaddle::decision
