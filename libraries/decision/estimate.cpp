// SPDX-License-Identifier: BSD-2-Clause
#include <decision/estimate.h>

#include <algorithm>
#include <cmath>

namespace postpaddle::decision {

namespace {

/// Weight of a sample in steady state.
constexpr double steady_gain = 0.1;
/// Weight of the first sample of a rough estimate, equal to that of the initial guess.
constexpr double initial_gain = 0.5;
/// Maximum factor between an estimate and its initial value, in both directions.
constexpr double max_factor = 10;

} // namespace

estimate make_estimate(double start) { return {start, start, steady_gain}; }

estimate make_rough_estimate(double start) { return {start, start, initial_gain}; }

void add_sample(estimate& target, double sample) {
    if (!std::isfinite(sample) || sample <= 0)
        return;
    const double moved = target.value + target.gain * (sample - target.value);
    target.gain = std::max(steady_gain, target.gain / (1 + target.gain));
    target.value = std::clamp(moved, target.start / max_factor, target.start * max_factor);
}

} // namespace postpaddle::decision
