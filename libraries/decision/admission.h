// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>

namespace postpaddle::decision {

/// What the admission of a request to the engines rests on.
struct admission_facts {
    bool has_room = false;  ///< A decode engine has a place for it now.
    double free_places = 0; ///< Of all decode engines, for requests of its size.
    double total_places = 0;
    int older_waiting = 0;           ///< Requests, over all hosts, that have waited longer.
    base::duration hold{};           ///< How long a request keeps its place, on the mean.
    bool is_queued = false;          ///< Was let into the queue before.
    base::duration latency_target{}; ///< From the request's arrival to its first event.
    base::duration expected_start{}; ///< From the send to the first event.

    bool operator==(const admission_facts&) const = default;
};

/// What happens to a request that asks for a place.
enum class admission {
    start,  ///< Go now.
    wait,   ///< Wait for a place; older requests go first.
    refuse, ///< It can't be served in time: say so at once.
};

/// Whether a request may go, waits or is refused.
///
/// A request is refused when it arrives, not after a wait: a caller that is told at once can come back in
/// time. One that was let into the queue stays until it is served or its caller's patience ends.
[[nodiscard]] admission admit_to_engines(const admission_facts& facts);

/// How long a request that arrives now is expected to wait for a place.
[[nodiscard]] base::duration expected_wait(const admission_facts& facts);

} // namespace postpaddle::decision
