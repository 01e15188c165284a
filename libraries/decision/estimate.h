// SPDX-License-Identifier: BSD-2-Clause
#pragma once

namespace postpaddle::decision {

/// A quantity learned from samples, kept within a factor of where it started.
///
/// Exponentially weighted mean. The bound keeps one odd engine answer, or a spell of them, from
/// sending estimates so far off that they never find back.
struct estimate {
    double start = 1;
    double value = 1;
    double gain = 0.1; ///< Weight of the next sample.

    bool operator==(const estimate&) const = default;
};

/// An estimate that begins at a value known from the settings.
[[nodiscard]] estimate make_estimate(double start);

/// An estimate whose start is a guess: the first samples weigh as in a plain mean.
[[nodiscard]] estimate make_rough_estimate(double start);

/// Takes one sample. Samples that are not positive numbers are ignored.
void learn(estimate& target, double sample);

} // namespace postpaddle::decision
