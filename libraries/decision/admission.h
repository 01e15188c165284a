// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>

#include <random>

namespace postpaddle::decision {

/// What the admission of a request to the engines rests on.
struct admission_facts {
    bool has_room = false;  ///< A decode engine has a place for it now, those left out that go before it.
    double free_places = 0; ///< Of all decode engines, for requests of its size.
    double total_places = 0;
    int waiting_ahead = 0;         ///< Requests, over all hosts, that go before it.
    base::duration hold{};         ///< How long a request keeps its place, on the mean.
    bool is_late = false;          ///< Can no longer meet its latency target.
    base::duration prompt_queue{}; ///< Until its prefill engine begins with its prompt.
    base::duration in_time{};   ///< Longest wait for a place after which it still meets its latency target.
    bool may_come_back = false; ///< Its caller has not asked before and will ask again where it is refused.
    bool is_queued = false;     ///< Was let into the queue before.
    base::duration waited{};
    base::duration patience{}; ///< How long it may wait for a place.

    bool operator==(const admission_facts&) const = default;
};

/// What happens to a request that asks for a place.
enum class admission {
    start,  ///< Go now.
    wait,   ///< Wait for a place.
    refuse, ///< It can't be served before its caller leaves: say so at once.
};

/// Whether a request may go, waits or is refused.
///
/// Being too late for its latency target is no reason to refuse a request: it is served behind those that can
/// still be in time, as soon as places allow.
[[nodiscard]] admission admit_to_engines(const admission_facts& facts);

/// When a caller that is refused for want of a place is told to come back.
[[nodiscard]] base::duration time_until_place(const admission_facts& facts, std::mt19937_64& random);

/// How long a request that arrives now is expected to wait for a place.
[[nodiscard]] base::duration expected_wait(const admission_facts& facts);

/// How long a caller is kept waiting for a place before it is told to come back. Callers leave a stream that
/// has not begun after a few times its latency target; one that is told before that can still be served.
[[nodiscard]] base::duration patience_for_place(base::duration latency_target, base::duration time_limit);

/// Longest wait for a place after which the first event still comes within the latency target.
[[nodiscard]] base::duration longest_wait_in_time(base::duration latency_target,
                                                  base::duration expected_start);

} // namespace postpaddle::decision
