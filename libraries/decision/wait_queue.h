// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace postpaddle::decision {

/// Largest rank of a waiting request; less urgent ones have this rank too.
inline constexpr int max_rank = 15;

/// A request that waits for a slot at a decode engine.
struct waiter {
    base::duration waited{};
    double memory_tokens = 0; ///< Engine memory that it is expected to take.
    /// Longest wait with which it still meets its latency target; unset if its host does not report it.
    std::optional<base::duration> in_time{};
    int rank = 0;                ///< Priority, from 0 (most urgent) to `max_rank`.
    std::uint32_t share_key = 0; ///< Organisation and service whose share it uses; 0: unknown.

    bool operator==(const waiter&) const = default;
};

/// Expected output tokens, from the caller's hint, the mean over requests and the request's maximum.
///
/// Hints are right in the median but vary widely, so they are combined with the mean.
[[nodiscard]] double expected_output(double hint, double mean, double max_tokens);

/// Whether a request that has waited for `left` gets the next free slot before one that has waited for
/// `right`.
///
/// Requests that can still meet their latency target, having waited for at most `in_time`, go first. Within
/// each group the longest wait goes first, whatever the request's size.
[[nodiscard]] bool precedes(base::duration left, base::duration right, base::duration in_time);

/// Waiting requests of all hosts, indexed to count those ahead of a given one.
class wait_queue {
public:
    explicit wait_queue(std::span<const waiter> waiters);

    /// Requests ahead of one that has waited for `waited`.
    [[nodiscard]] std::size_t count_ahead(base::duration waited, base::duration in_time) const;

private:
    std::vector<base::duration> waits; ///< In ascending order.
};

/// A waiting request of this host.
struct local_waiter {
    base::duration waited{};
    base::duration in_time{}; ///< Longest wait with which it can still meet its latency target.
};

/// Indices of this host's requests that may be at the head of the queue with that many free slots, in queue
/// order, at most `max_count`. Limits the requests woken per load change, as each of them evaluates all
/// engines.
[[nodiscard]] std::vector<std::size_t> head_of_queue(const wait_queue& queue,
                                                     std::span<const local_waiter> own, double free_slots,
                                                     std::size_t max_count);

} // namespace postpaddle::decision
