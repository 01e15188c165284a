// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>

namespace postpaddle::decision {

/// A request that waits for a place at a decode engine.
struct waiter {
    base::duration waited{};
    double output_tokens = 0; ///< Expected.

    bool operator==(const waiter&) const = default;
};

/// Tokens that a request is expected to put out, from the caller's guess, what requests put out on the mean,
/// and the most that it may.
///
/// Guesses are right in the median but far off one by one, so the mean pulls them back.
[[nodiscard]] double expected_output(double hint, double mean, double most);

/// Whether `left` gets the next free place before `right`.
///
/// Those that have not waited longer than `in_time` go first, as they can still meet their latency target;
/// among them the shortest, because a place that is free again sooner serves another in time. Those that are
/// late already go by age, so that none waits forever.
[[nodiscard]] bool goes_before(const waiter& left, const waiter& right, base::duration in_time);

} // namespace postpaddle::decision
