// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>

namespace postpaddle::decision {

/// A request that waits for a place at a decode engine.
struct waiter {
    base::duration waited{};
    double memory_tokens = 0; ///< That it will take of an engine's memory, expected.

    bool operator==(const waiter&) const = default;
};

/// Tokens that a request is expected to put out, from the caller's guess, what requests put out on the mean,
/// and the most that it may.
///
/// Guesses are right in the median but far off one by one, so the mean pulls them back.
[[nodiscard]] double expected_output(double hint, double mean, double most);

/// Whether a request that has waited for `left` gets the next free place before one that has waited for
/// `right`.
///
/// Those that have not waited longer than `in_time` go first, as they can still meet their latency target; in
/// each of the two groups the one that has waited the longest does, whatever its size.
[[nodiscard]] bool goes_before(base::duration left, base::duration right, base::duration in_time);

} // namespace postpaddle::decision
