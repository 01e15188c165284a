// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>

#include <array>
#include <chrono>
#include <cstddef>

namespace postpaddle::decision {

/// How long callers of one route wait when they first ask, from what their requests say is left.
///
/// A caller that asks again has less time left than one that asks for the first time, so the difference tells
/// how long ago it first asked. Most requests are first ones: the upper part of the last ones says what a
/// first one says, and how far callers differ in it, however odd a few of them are. Only who has less left
/// than any first one would is taken to ask again: where callers' patience differed by 15 %, seven in ten
/// first requests were, and for each of them a dozen engines were asked what they hold.
struct caller_patience {
    static constexpr std::size_t remembered = 31; ///< Requests; some seconds of a busy route.
    std::array<std::chrono::milliseconds, remembered> last{};
    std::size_t taken = 0; ///< Requests so far.

    bool operator==(const caller_patience&) const = default;
};

/// Takes a request that says how long its caller still waits.
void note_time_left(caller_patience& patience, std::chrono::milliseconds left);

/// How long ago a caller with so much time left is taken to have asked first; zero where it is not surely
/// another try.
[[nodiscard]] base::duration time_since_first_try(const caller_patience& patience,
                                                  std::chrono::milliseconds left);

} // namespace postpaddle::decision
