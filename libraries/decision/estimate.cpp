// SPDX-License-Identifier: BSD-2-Clause
#include <decision/estimate.h>

#include <algorithm>
#include <cmath>

namespace postpaddle::decision {

namespace {

constexpr double gain = 0.1;
/// How far an estimate may go from its start, as a factor each way.
constexpr double widest_factor = 10;

} // namespace

estimate make_estimate(double start) { return {start, start}; }

void learn(estimate& target, double sample) {
    if (!std::isfinite(sample) || sample <= 0)
        return;
    const double moved = target.value + gain * (sample - target.value);
    target.value = std::clamp(moved, target.start / widest_factor, target.start * widest_factor);
}

} // namespace postpaddle::decision
