// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <decision/overload/fair_share.h>
#include <decision/overload/rank.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace postpaddle::decision {

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
/// `right`, where ranks and shares are not used.
///
/// Requests that can still meet their latency target, having waited for at most `in_time`, go first. Within
/// each group the longest wait goes first, whatever the request's size.
[[nodiscard]] bool precedes(base::duration left, base::duration right, base::duration in_time);

/// A waiting request of this host.
struct local_waiter {
    base::duration waited{};
    base::duration in_time{}; ///< Longest wait with which it can still meet its latency target.
    double memory_tokens = 0; ///< Engine memory that it is expected to take.
    int rank = 0;
    std::uint32_t share_key = 0;

    bool operator==(const local_waiter&) const = default;
};

/// What determines the position of one of this host's requests in the queue.
struct waiting_facts {
    base::duration age{};     ///< Since the caller's first attempt.
    base::duration waited{};  ///< Since this attempt.
    base::duration in_time{}; ///< Longest wait of this attempt with which it meets its latency target.
    base::duration latency_target{};
    base::duration max_wait{}; ///< See `max_slot_wait`.
    double memory_tokens = 0;
    int rank = 0; ///< By its priorities alone.
    std::uint32_t share_key = 0;

    bool operator==(const waiting_facts&) const = default;
};

/// A request with what determines its position, as it is reported to the other hosts.
///
/// A returning caller's latency target is counted from its return, so that it goes before new callers of its
/// rank, which are younger. The rank improves with the wait. From half of its maximum wait a request counts
/// as in time and most urgent: only older requests go first, so newer ones no longer overtake it.
[[nodiscard]] local_waiter make_local_waiter(const waiting_facts& facts);

/// Whether newer requests no longer overtake it, see `make_local_waiter`.
[[nodiscard]] bool is_protected(const local_waiter& own);

/// The same in the form of a load report.
[[nodiscard]] waiter to_waiter(const local_waiter& own);

/// Position of a request in the queue; smaller ones are served first.
struct wait_position {
    bool is_beyond_share = false;
    bool is_late = false;
    int rank = 0;
    base::duration arrived{}; ///< Relative to when the queue was made; above zero if it arrived since.

    auto operator<=>(const wait_position&) const = default;
};

/// How the waiting requests of a service are ordered.
struct wait_order {
    bool by_rank = false;    ///< By rank and each request's own latency target.
    bool by_share = false;   ///< By `shares`, and by each request's own latency target.
    int unreported_rank = 0; ///< Of requests whose hosts report no rank.
    fair_shares shares{};

    /// Neither by rank nor by share: the order of `precedes`, with the latency target of the request that
    /// looks at the queue.
    [[nodiscard]] bool is_by_age() const { return !this->by_rank && !this->by_share; }
};

/// Waiting requests of all hosts, indexed to count those ahead of a given one.
class wait_queue {
public:
    explicit wait_queue(std::span<const waiter> waiters, wait_order order = {});

    /// Position of a request of this host.
    [[nodiscard]] wait_position position_of(const local_waiter& own) const;

    /// Requests ahead of one of this host.
    [[nodiscard]] std::size_t count_ahead(const local_waiter& own) const;

    /// Requests ahead of one that has waited for `waited`, where all have the same rank and share.
    [[nodiscard]] std::size_t count_ahead(base::duration waited, base::duration in_time) const {
        return this->count_ahead(local_waiter{.waited = waited, .in_time = in_time});
    }

    /// Requests ahead of one of this host, in queue order.
    [[nodiscard]] std::vector<waiter> waiters_ahead(const local_waiter& own) const;

    /// Of the requests ahead of one of this host, those that newer requests of the most urgent kind overtake,
    /// as they overtake this one, and those that are protected by now. 0 if no more urgent request waits.
    [[nodiscard]] std::size_t count_overtaken_ahead(const local_waiter& own) const;

    /// The order in force, with the shares.
    [[nodiscard]] const wait_order& order() const { return this->rules; }

private:
    /// A request whose position does not depend on the request that looks at the queue.
    struct placed_waiter {
        wait_position position;
        waiter request;
    };
    /// Requests of one share, and the memory that is in use or that those before a position need.
    struct share_queue {
        std::vector<wait_position> positions; ///< In ascending order, without the share.
        std::vector<double> tokens_before;    ///< By index in `positions`, and the total.
        double taken_before_last = 0;
    };

    [[nodiscard]] wait_position position_within_share(const waiter& request, base::duration in_time) const;
    [[nodiscard]] bool is_beyond_share(const wait_position& position, std::uint32_t key, double tokens) const;
    void place(std::vector<placed_waiter> reported);
    void place_by_share();

    wait_order rules;
    std::vector<placed_waiter> placed; ///< In queue order.
    std::unordered_map<std::uint32_t, share_queue> by_share;
    /// Requests whose position depends on the latency target of the request that looks at the queue: all of
    /// them where the order is by age, else those of hosts that report none. The longest wait is last.
    std::vector<waiter> unplaced;
};

/// Indices of this host's requests that may be at the head of the queue with that many free slots, in queue
/// order, at most `max_count`. Limits the requests woken per load change, as each of them evaluates all
/// engines.
///
/// If every change woke all of them, a host's CPU time would grow with the number of waiting requests times
/// the number of engines.
[[nodiscard]] std::vector<std::size_t> head_of_queue(const wait_queue& queue,
                                                     std::span<const local_waiter> own, double free_slots,
                                                     std::size_t max_count);

} // namespace postpaddle::decision
