// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <host/read_ending.h>
#include <ports/control_feed.h>

#include <chrono>

namespace postpaddle::gateway {

/// A read of the store that has failed.
struct failed_read {
    ports::feed_failure failure{};
    bool waits_for_record = false; ///< Whether the store was to delay the answer until there is a record.
    base::duration took{};
    std::chrono::milliseconds limit{}; ///< Until the answer begins, with the wait for a record.
};

/// How a failed read ended, which says what it proves.
[[nodiscard]] host::read_ending ending_of(const failed_read& read);

} // namespace postpaddle::gateway
