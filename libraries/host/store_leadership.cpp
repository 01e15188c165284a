// SPDX-License-Identifier: BSD-2-Clause
#include <host/store_leadership.h>

#include <base/hashing.h>
#include <host/store_reader.h>

#include <algorithm>

namespace postpaddle::host {

namespace {

/// Fraction of the bound after which a host without fresh updates reads for itself. In normal operation an
/// update is up to two waits and a pause old (0.45 of the bound); the rest is left for the host's own read.
constexpr double timeout_fraction = 0.5;
/// Fraction of the bound over which hosts stagger their first own reads, so that the first ones can inform
/// the others.
constexpr double stagger_fraction = 0.1;
// The fractions below keep a follower's knowledge younger than its timeout in normal operation.
// tests/host/test_store_leadership.cpp checks this: it fails if the timeout is doubled.

/// Probe interval of followers as a fraction of the bound; leaves half of the bound for the read itself.
constexpr double follower_probe_fraction = 0.5;
/// Waits and pauses as fractions of the bound, with followers and without.
constexpr double leader_wait_fraction = 0.2;
constexpr double leader_pause_fraction = 0.05;
constexpr double solo_pause_fraction = 0.2;

} // namespace

void record_known(store_leadership& leadership, base::time_point until) {
    leadership.known_until = std::max(leadership.known_until, until);
}

cell_position position_in(const std::vector<base::host_id>& cell, const base::host_id& own) {
    const std::uint64_t own_hash = base::hash64(own.value);
    const auto goes_before = [&](const base::host_id& other) {
        const std::uint64_t hash = base::hash64(other.value);
        return hash != own_hash ? hash < own_hash : other < own;
    };
    return {.hosts = cell.size(), .rank = static_cast<std::size_t>(std::ranges::count_if(cell, goes_before))};
}

bool has_followers(const cell_position& position) { return position.hosts > max_hosts_without_followers; }

bool is_leader(const cell_position& position) {
    return !has_followers(position) || position.rank < leaders_per_cell;
}

std::chrono::milliseconds probe_interval(const cell_position& position, std::chrono::milliseconds bound) {
    if (is_leader(position))
        return min_probe_interval;
    return std::max(min_probe_interval,
                    std::chrono::duration_cast<std::chrono::milliseconds>(bound * follower_probe_fraction));
}

double wait_fraction(const cell_position& position) {
    return has_followers(position) ? leader_wait_fraction : solo_wait_fraction;
}

double pause_fraction(const cell_position& position) {
    return has_followers(position) ? leader_pause_fraction : solo_pause_fraction;
}

read_reason reason_to_read(const store_leadership& leadership, const leadership_facts& facts) {
    const base::duration age = facts.now - leadership.known_until;
    // The other hosts are not known yet, shortly after the start. Rely on the initial read until it times
    // out.
    if (facts.position.hosts == 0)
        return age >= base::scaled(facts.bound, timeout_fraction) ? read_reason::start : read_reason::none;
    if (is_leader(facts.position))
        return read_reason::leader;
    const double stagger = stagger_fraction * static_cast<double>(facts.position.rank) /
                           static_cast<double>(facts.position.hosts);
    if (age >= base::scaled(facts.bound, timeout_fraction + stagger))
        return read_reason::old;
    // Waits for its slot, as other hosts may deliver the missing record first.
    const bool is_behind =
        leadership.behind_since && facts.now - *leadership.behind_since >= base::scaled(facts.bound, stagger);
    return is_behind ? read_reason::behind : read_reason::none;
}

bool must_read(const store_leadership& leadership, const leadership_facts& facts) {
    return reason_to_read(leadership, facts) != read_reason::none;
}

const char* to_text(read_reason reason) {
    switch (reason) {
    case read_reason::none:
        return "none";
    case read_reason::start:
        return "start";
    case read_reason::leader:
        return "leader";
    case read_reason::old:
        return "old";
    case read_reason::behind:
        return "behind";
    }
    return "unknown";
}

} // namespace postpaddle::host
