// SPDX-License-Identifier: BSD-2-Clause
#include <decision/wait_queue.h>

#include <algorithm>
#include <cmath>

namespace postpaddle::decision {

namespace {

/// Slots that may be free beyond those counted, as request sizes differ and other hosts' reports arrive late.
constexpr double uncounted_slots = 2;
/// Weight of the caller's hint against the mean.
constexpr double hint_weight = 0.6;
/// Longest wait in time of a request that counts as in time however late it is; above all time limits.
constexpr base::duration unlimited_wait = std::chrono::hours(1);

/// Waits are at most a day in reports, which is less than 2^47 ns.
constexpr int wait_bits = 56;
constexpr int rank_bits = 4;

/// Number that orders positions within shares like `wait_position`.
std::uint64_t sort_key(const wait_position& position) {
    static constexpr std::int64_t offset = std::int64_t{1} << (wait_bits - 1);
    const std::int64_t arrived = std::clamp(position.arrived.count(), -offset, offset - 1);
    const std::uint64_t group = (static_cast<std::uint64_t>(position.is_late) << rank_bits) +
                                static_cast<std::uint64_t>(position.rank);
    return (group << wait_bits) + static_cast<std::uint64_t>(arrived + offset);
}

} // namespace

double expected_output(double hint, double mean, double max_tokens) {
    double expected = mean;
    if (hint > 0 && mean > 0)
        expected = std::exp(hint_weight * std::log(hint) + (1 - hint_weight) * std::log(mean));
    return max_tokens > 0 ? std::min(expected, max_tokens) : expected;
}

bool precedes(base::duration left, base::duration right, base::duration in_time) {
    const bool is_left_in_time = left <= in_time;
    const bool is_right_in_time = right <= in_time;
    if (is_left_in_time != is_right_in_time)
        return is_left_in_time;
    return left > right;
}

local_waiter make_local_waiter(const waiting_facts& facts) {
    local_waiter own = {.waited = facts.age,
                        .in_time = facts.in_time + std::max(base::duration::zero(), facts.age - facts.waited),
                        .memory_tokens = facts.memory_tokens,
                        .rank = rank_after_wait(facts.rank, facts.waited, facts.latency_target),
                        .share_key = facts.share_key};
    if (facts.max_wait > base::duration::zero() && facts.waited >= facts.max_wait / 2) {
        own.in_time = unlimited_wait;
        own.rank = 0;
    }
    return own;
}

bool is_protected(const local_waiter& own) { return own.in_time >= unlimited_wait; }

waiter to_waiter(const local_waiter& own) {
    return {own.waited, own.memory_tokens, own.in_time, own.rank, own.share_key};
}

wait_queue::wait_queue(std::span<const waiter> waiters, wait_order order) : rules(std::move(order)) {
    std::vector<placed_waiter> reported;
    for (const waiter& one : waiters) {
        if (this->rules.is_by_age() || !one.in_time)
            this->unplaced.push_back(one);
        else
            reported.push_back({this->position_within_share(one, *one.in_time), one});
    }
    std::ranges::sort(this->unplaced, {}, &waiter::waited);
    this->place(std::move(reported));
}

void wait_queue::place(std::vector<placed_waiter> reported) {
    // Sort small keys instead of whole requests, as the queue is made again after most changes.
    std::vector<std::pair<std::uint64_t, std::size_t>> keys;
    keys.reserve(reported.size());
    for (std::size_t index = 0; index < reported.size(); ++index)
        keys.emplace_back(sort_key(reported[index].position), index);
    std::ranges::sort(keys);
    this->placed.reserve(keys.size());
    for (const auto& [key, index] : keys)
        this->placed.push_back(reported[index]);
    if (this->rules.by_share)
        this->place_by_share();
}

void wait_queue::place_by_share() {
    for (placed_waiter& one : this->placed) {
        share_queue& own = this->by_share[one.request.share_key];
        if (own.tokens_before.empty())
            own.tokens_before.push_back(tokens_in_use(this->rules.shares, one.request.share_key));
        // Requests with the same position are not ahead of each other.
        if (own.positions.empty() || own.positions.back() != one.position)
            own.taken_before_last = own.tokens_before.back();
        own.positions.push_back(one.position);
        own.tokens_before.push_back(own.tokens_before.back() + one.request.memory_tokens);
        one.position.is_beyond_share =
            decision::is_beyond_share(this->rules.shares, own.taken_before_last, one.request.memory_tokens);
    }
    std::stable_partition(this->placed.begin(), this->placed.end(),
                          [](const placed_waiter& one) { return !one.position.is_beyond_share; });
}

wait_position wait_queue::position_within_share(const waiter& request, base::duration in_time) const {
    int rank = 0;
    if (this->rules.by_rank)
        rank = request.in_time ? request.rank : this->rules.unreported_rank;
    return {.is_late = request.waited > in_time, .rank = rank, .arrived = -request.waited};
}

bool wait_queue::is_beyond_share(const wait_position& position, std::uint32_t key, double tokens) const {
    const auto found = this->by_share.find(key);
    if (found == this->by_share.end())
        return decision::is_beyond_share(this->rules.shares, tokens_in_use(this->rules.shares, key), tokens);
    const auto& positions = found->second.positions;
    const auto ahead = std::ranges::lower_bound(positions, position) - positions.begin();
    return decision::is_beyond_share(this->rules.shares,
                                     found->second.tokens_before[static_cast<std::size_t>(ahead)], tokens);
}

wait_position wait_queue::position_of(const local_waiter& own) const {
    wait_position position = this->position_within_share(to_waiter(own), own.in_time);
    if (this->rules.by_share)
        position.is_beyond_share = this->is_beyond_share(position, own.share_key, own.memory_tokens);
    return position;
}

std::size_t wait_queue::count_ahead(const local_waiter& own) const {
    const wait_position position = this->position_of(own);
    const auto placed_end = std::ranges::lower_bound(this->placed, position, {}, &placed_waiter::position);
    auto ahead = placed_end - this->placed.begin();
    // There are two groups, those that can be in time and those that are late. In each, the ones that have
    // waited longest come last and are ahead.
    const auto late = std::ranges::upper_bound(this->unplaced, own.in_time, {}, &waiter::waited);
    const auto count_group = [&](auto begin, auto end) {
        return end - std::partition_point(begin, end, [&](const waiter& other) {
                   return this->position_within_share(other, own.in_time) >= position;
               });
    };
    ahead += count_group(this->unplaced.begin(), late) + count_group(late, this->unplaced.end());
    return static_cast<std::size_t>(ahead);
}

std::size_t wait_queue::count_overtaken_ahead(const local_waiter& own) const {
    const auto is_protected = [](const placed_waiter& one) { return one.request.in_time >= unlimited_wait; };
    const auto class_of = [](wait_position position) {
        position.arrived = {};
        return position;
    };
    const wait_position position = this->position_of(own);
    const auto most_urgent = std::ranges::find_if_not(this->placed, is_protected);
    if (most_urgent == this->placed.end() || class_of(most_urgent->position) >= class_of(position))
        return 0;
    const auto end = std::ranges::lower_bound(this->placed, position, {}, &placed_waiter::position);
    const auto count = std::count_if(this->placed.begin(), end, [&](const placed_waiter& one) {
        return is_protected(one) || class_of(one.position) != class_of(most_urgent->position);
    });
    return static_cast<std::size_t>(count);
}

std::vector<waiter> wait_queue::waiters_ahead(const local_waiter& own) const {
    const wait_position position = this->position_of(own);
    std::vector<placed_waiter> ahead(
        this->placed.begin(), std::ranges::lower_bound(this->placed, position, {}, &placed_waiter::position));
    for (const waiter& other : this->unplaced)
        if (const wait_position place = this->position_within_share(other, own.in_time); place < position)
            ahead.push_back({place, other});
    if (!this->unplaced.empty())
        std::ranges::sort(ahead, {}, &placed_waiter::position);
    std::vector<waiter> requests;
    requests.reserve(ahead.size());
    for (const placed_waiter& one : ahead)
        requests.push_back(one.request);
    return requests;
}

std::vector<std::size_t> head_of_queue(const wait_queue& queue, std::span<const local_waiter> own,
                                       double free_slots, std::size_t max_count) {
    std::vector<std::pair<std::size_t, std::size_t>> ranked;
    for (std::size_t index = 0; index < own.size(); ++index) {
        const std::size_t ahead = queue.count_ahead(own[index]);
        if (static_cast<double>(ahead) < free_slots + uncounted_slots)
            ranked.emplace_back(ahead, index);
    }
    std::ranges::sort(ranked);
    std::vector<std::size_t> next;
    for (const auto& [ahead, index] : ranked)
        if (next.size() < max_count)
            next.push_back(index);
    return next;
}

} // namespace postpaddle::decision
