// SPDX-License-Identifier: BSD-2-Clause
#pragma once

namespace postpaddle::decision {

/// Exponentially weighted moving average, limited to a factor around its initial value.
///
/// The limit keeps outliers from moving the estimate so far that it can't recover.
struct estimate {
    double start = 1;
    double value = 1;
    double gain = 0.1; ///< Weight of the next sample.

    bool operator==(const estimate&) const = default;
};

/// Creates an estimate whose initial value is known from the settings.
[[nodiscard]] estimate make_estimate(double start);

/// Creates an estimate whose initial value is a guess: the first samples are weighted as in an arithmetic
/// mean.
[[nodiscard]] estimate make_rough_estimate(double start);

/// Adds a sample. Ignores samples that are not positive finite numbers.
void add_sample(estimate& target, double sample);

} // namespace postpaddle::decision
