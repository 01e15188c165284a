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

void note_told(store_duty& duty, const base::host_id& reader, base::time_point until) {
    base::time_point& known = duty.known_until[reader];
    known = std::max(known, until);
}

bool has_followers(const duty_facts& facts) { return facts.cell.size() > least_hosts_to_follow; }

bool must_read(store_duty& duty, const duty_facts& facts) {
    const std::size_t rank = rank_of(facts.own, facts.cell);
    if (!has_followers(facts) || rank < readers_a_cell) {
        duty.is_standing_in = false;
        return true;
    }
    const base::duration patience = part_of(facts.bound, patience_part);
    const double turn = static_cast<double>(rank) / static_cast<double>(facts.cell.size());
    const auto is_fresh = [&](const auto& told) {
        const base::duration own_turn =
            duty.is_standing_in ? base::duration{} : part_of(facts.bound, spread_part * turn);
        return facts.now - told.second < patience + own_turn;
    };
    // One that stands in goes on until it hears from a host that goes before it.
    const auto may_relieve = [&](const auto& told) {
        return is_fresh(told) && (!duty.is_standing_in || rank_of(told.first, facts.cell) < rank);
    };
    // Other hosts may hand over what is missing before this one's turn has come.
    const bool is_behind =
        duty.behind_since && facts.now - *duty.behind_since >= part_of(facts.bound, spread_part * turn);
    duty.is_standing_in = is_behind || std::ranges::none_of(duty.known_until, may_relieve);
    std::erase_if(duty.known_until, [&](const auto& told) { return facts.now - told.second > facts.bound; });
    return duty.is_standing_in;
}

} // namespace postpaddle::host
