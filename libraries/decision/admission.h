// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>

#include <random>

namespace postpaddle::decision {

/// Fraction of the latency target within which the expected answer has to be; the rest is a margin for
/// estimation errors.
inline constexpr double usable_target_fraction = 0.8;

/// Inputs of the admission decision for a request to the engines.
struct admission_facts {
    bool has_room = false; ///< A decode engine has a slot that no request ahead in the queue needs.
    double free_slots = 0; ///< Free slots of all decode engines, for requests of this size.
    double total_slots = 0;
    int waiting_ahead = 0;         ///< Requests ahead in the queue, on all hosts.
    int overtaken_ahead = 0;       ///< Those of them that newer, more urgent ones overtake like this one.
    base::duration hold{};         ///< Mean time that a request occupies its slot.
    bool is_late = false;          ///< Can no longer meet its latency target.
    base::duration prompt_queue{}; ///< Expected time until the prefill engine starts the prompt.
    base::duration in_time{};      ///< Longest wait for a slot that still meets the latency target.
    bool will_retry = false;       ///< First try of a caller that will retry if refused.
    bool is_queued = false;        ///< Already admitted to the queue.
    base::duration waited{};
    base::duration max_wait{}; ///< Maximum wait for a slot.
    bool is_ordered = false;   ///< The queue is ordered by rank or share, and not by age alone.

    bool operator==(const admission_facts&) const = default;
};

/// Admission decision for a request.
enum class admission {
    start,  ///< Send it now.
    wait,   ///< Wait for a slot.
    refuse, ///< Reject immediately: the expected wait is too long.
};

/// Decides whether a request starts, waits or is refused.
///
/// Missing the latency target does not cause a refusal: a late request is served after those that can still
/// meet their target.
[[nodiscard]] admission admit_to_engines(const admission_facts& facts);

/// Randomized retry delay for a caller that is refused because no slot is free: 1 to 2 times the expected
/// wait in an ordered queue, so that more urgent callers return earlier; 1 to 3 times in one by age.
[[nodiscard]] base::duration slot_retry_delay(const admission_facts& facts, std::mt19937_64& random);

/// Expected wait for a slot. Requests that newer ones overtake are expected to get a quarter of the slots.
[[nodiscard]] base::duration expected_wait(const admission_facts& facts);

/// Maximum time that a request waits for a slot before it is refused. Callers abandon a stream that has not
/// started after a few times its latency target, so they are told to retry before that.
[[nodiscard]] base::duration max_slot_wait(base::duration latency_target, base::duration time_limit);

/// Longest wait for a slot after which the first event still meets the latency target.
[[nodiscard]] base::duration max_wait_on_time(base::duration latency_target, base::duration expected_start);

} // namespace postpaddle::decision
