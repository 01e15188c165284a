// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <chrono>

namespace postpaddle::host {

/// Adaptive timeout for requests to the store.
///
/// Starts short, so that an unresponsive store is detected quickly. Doubles after each timeout, so that a
/// store overloaded by many hosts starting at once still gets to answer.
struct adaptive_timeout {
    std::chrono::milliseconds initial{900};
    std::chrono::milliseconds limit = initial;

    bool operator==(const adaptive_timeout&) const = default;
};

/// Resets the timeout to its initial value.
void did_answer(adaptive_timeout& timeout);

/// Doubles the timeout, up to a maximum.
void did_time_out(adaptive_timeout& timeout);

} // namespace postpaddle::host
