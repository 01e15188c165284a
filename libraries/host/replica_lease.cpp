// SPDX-License-Identifier: BSD-2-Clause
#include <host/replica_lease.h>

#include <algorithm>
#include <iterator>

namespace postpaddle::host {

namespace {

/// Ages as fractions of the bound. In cells with followers, updates keep a replica younger than 0.45; a host
/// that reads for itself waits for 0.6.
constexpr double follower_ask_fraction = 0.45;
constexpr double solo_ask_fraction = 0.65;
constexpr double clock_fraction = 0.2;
constexpr double ask_interval_fraction = 0.05;
/// Hosts asked at a time.
constexpr std::size_t hosts_per_question = 2;
/// Hosts that must have been asked before the store counts as lost. If it rejects a third of the hosts, that
/// many belong to that third once in six thousand times.
constexpr std::size_t hosts_asked_for_outage = 8;

bool is_store_lost(const replica_lease_options& options, const replica_doubt& doubt,
                   const lease_facts& facts) {
    const auto is_any_recent = [&](const std::map<base::host_id, base::time_point>& hosts) {
        return std::ranges::any_of(hosts,
                                   [&](const auto& item) { return facts.now - item.second < options.bound; });
    };
    if (!facts.is_own_read_failing || is_any_recent(doubt.uninformed))
        return false;
    if (facts.other_hosts == 0)
        return true;
    const bool has_asked = doubt.asked.size() >= std::min(facts.other_hosts, hosts_asked_for_outage);
    return has_asked && is_any_recent(doubt.unanswered);
}

} // namespace

const char* to_text(lease_state state) {
    switch (state) {
    case lease_state::held:
        return "held";
    case lease_state::lapsed:
        return "lapsed";
    case lease_state::store_outage:
        return "store_outage";
    }
    return "unknown";
}

base::time_point lease_end(const replica_lease_options& options, base::time_point known_until) {
    return known_until + options.bound - options.use_time;
}

lease_state state_of(const replica_lease_options& options, const replica_doubt& doubt,
                     const lease_facts& facts) {
    if (facts.now < lease_end(options, facts.known_until))
        return lease_state::held;
    return is_store_lost(options, doubt, facts) ? lease_state::store_outage : lease_state::lapsed;
}

base::duration age_to_ask(const cell_position& position, std::chrono::milliseconds bound) {
    return base::scaled(bound, has_followers(position) ? follower_ask_fraction : solo_ask_fraction);
}

base::duration age_to_ask_clocks(std::chrono::milliseconds bound) {
    return base::scaled(bound, clock_fraction);
}

base::duration ask_interval(std::chrono::milliseconds bound) {
    return base::scaled(bound, ask_interval_fraction);
}

std::vector<std::string> hosts_to_ask(const replica_doubt& doubt, const peer_directory& directory,
                                      base::time_point now, std::mt19937_64& random) {
    std::vector<std::string> alive;
    for (const auto& [name, known] : directory.by_name)
        if (may_be_alive(known, now))
            alive.push_back(known.address);
    if (alive.empty())
        alive = directory.seeds;
    std::vector<std::string> unasked;
    std::ranges::copy_if(alive, std::back_inserter(unasked),
                         [&doubt](const std::string& address) { return !doubt.asked.contains(address); });
    std::vector<std::string> chosen;
    std::ranges::sample(unasked.empty() ? alive : unasked, std::back_inserter(chosen),
                        static_cast<std::ptrdiff_t>(hosts_per_question), random);
    return chosen;
}

void end_doubt(replica_doubt& doubt) {
    doubt.asked.clear();
    doubt.unanswered.clear();
}

void record_answer(replica_doubt& doubt, const doubt_answer& answer) {
    if (answer.is_read_failing)
        doubt.unanswered[answer.host] = answer.received;
    if (answer.is_uninformed)
        doubt.uninformed[answer.host] = answer.received;
}

void record_uninformed(replica_doubt& doubt, const base::host_id& own, base::time_point now) {
    doubt.uninformed[own] = now;
}

bool is_uninformed(const replica_lease_options& options, const replica_doubt& doubt, const base::host_id& own,
                   base::time_point now) {
    const auto found = doubt.uninformed.find(own);
    return found != doubt.uninformed.end() && now - found->second < options.bound;
}

} // namespace postpaddle::host
