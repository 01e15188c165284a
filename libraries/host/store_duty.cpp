// SPDX-License-Identifier: BSD-2-Clause
#include <host/store_duty.h>

#include <base/hashing.h>

#include <algorithm>

namespace postpaddle::host {

namespace {

/// Part of the bound after which a host that heard nothing fresh reads for itself. A reader's word is up to
/// two of its waits and a pause old in calm (0.45 of the bound); the other half is left for an own read.
constexpr double patience_part = 0.5;
/// Part of the bound over which the hosts of a cell spread their first own reads, so that those who begin
/// tell the others before they do as well.
constexpr double spread_part = 0.1;
/// A reader's pause between two short reads of a lost store.
constexpr std::chrono::milliseconds reader_probe_interval{500};
/// The other hosts' pause, as a part of the bound: half of it is left for the read and what follows.
constexpr double follower_probe_part = 0.5;

/// Hosts whose rank is better, as all hosts of the cell see it.
std::size_t rank_of(const base::host_id& host, const std::vector<base::host_id>& cell) {
    const auto key = [](const base::host_id& one) { return std::pair{base::hash64(one.value), one}; };
    return static_cast<std::size_t>(
        std::ranges::count_if(cell, [&](const base::host_id& other) { return key(other) < key(host); }));
}

base::duration part_of(std::chrono::milliseconds bound, double part) {
    return base::from_seconds(base::to_seconds(bound) * part);
}

} // namespace

void note_known(store_duty& duty, base::time_point until) {
    duty.known_until = std::max(duty.known_until, until);
}

bool has_followers(const duty_facts& facts) { return facts.cell.size() > least_hosts_to_follow; }

std::chrono::milliseconds probe_interval(const duty_facts& facts) {
    if (!has_followers(facts) || rank_of(facts.own, facts.cell) < readers_a_cell)
        return reader_probe_interval;
    return std::max(reader_probe_interval,
                    std::chrono::duration_cast<std::chrono::milliseconds>(facts.bound * follower_probe_part));
}

bool must_read(const store_duty& duty, const duty_facts& facts) {
    const bool is_old = facts.now - duty.known_until >= part_of(facts.bound, patience_part);
    // Until the other hosts are known, a few moments after the start, what was read then will do.
    if (facts.cell.empty())
        return is_old;
    const std::size_t rank = rank_of(facts.own, facts.cell);
    if (!has_followers(facts) || rank < readers_a_cell)
        return true;
    const double turn = spread_part * static_cast<double>(rank) / static_cast<double>(facts.cell.size());
    if (facts.now - duty.known_until >= part_of(facts.bound, patience_part + turn))
        return true;
    // Other hosts may hand over what is missing before this one's turn has come.
    return duty.behind_since && facts.now - *duty.behind_since >= part_of(facts.bound, turn);
}

} // namespace postpaddle::host
