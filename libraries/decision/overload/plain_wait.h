// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/overload/plain_candidate.h>

#include <limits>
#include <optional>
#include <vector>

/// Estimates how long a request waits until a plain upstream can be sent it.
namespace postpaddle::decision {

/// What determines how long a request may wait. All in seconds.
struct plain_wait_facts {
    double waited = 0;        ///< Since the caller's first try.
    double usable_target = 0; ///< Time since the first try by which the answer has to be expected.
    double seconds_ahead = 0; ///< Until the requests ahead in this host's queue have been sent.

    bool operator==(const plain_wait_facts&) const = default;
};

/// Requests at an upstream up to which a new one is in time there.
[[nodiscard]] double usable_requests(const plain_candidate& one, double usable_target);

/// Shortest time until an upstream could answer a new request in time, in seconds.
[[nodiscard]] double seconds_until_capacity(const std::vector<plain_candidate>& candidates,
                                            double usable_target);

/// Shortest wait after which the request would still be in time, in seconds; nullopt if there is none.
[[nodiscard]] std::optional<double> seconds_until_in_time(const std::vector<plain_candidate>& candidates,
                                                          const plain_wait_facts& facts);

/// When a request that waits for a free slot could be sent and would end, in seconds from now.
struct free_slot_wait {
    double until_sent = std::numeric_limits<double>::infinity();
    double until_end = std::numeric_limits<double>::infinity();

    bool operator==(const free_slot_wait&) const = default;
};

/// The wait for the slot at which the request would end first.
[[nodiscard]] free_slot_wait wait_for_free_slot(const std::vector<plain_candidate>& candidates,
                                                double seconds_ahead);

} // namespace postpaddle::decision
