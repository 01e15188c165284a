// SPDX-License-Identifier: BSD-2-Clause
#include <host/peer_directory.h>

#include <algorithm>
#include <iterator>

namespace postpaddle::host {

namespace {

using namespace std::chrono_literals;

/// How long after it was last seen a host is sent heartbeats.
constexpr base::duration alive_lifetime = 30s;
/// How long a host counts towards shared limits. Long, because limits are divided by the number of hosts:
/// counting one too many costs little, while one too few exceeds the limit, and in a large system updates
/// about a host are infrequent.
constexpr base::duration counted_lifetime = 120s;
/// A host that receives nothing for this long is considered isolated. Hosts send a heartbeat about every
/// 1.2 s, and each is answered.
constexpr base::duration cut_off_silence = 2s;
/// Maximum time between updates about a host in a small cluster, where two or three heartbeats reach
/// everyone.
constexpr base::duration max_silence = 3'500ms;
/// One in this many rounds also contacts a silent host or a seed.
constexpr int silent_peer_interval = 8;

} // namespace

bool may_be_reachable(const peer& value, base::time_point now) {
    return !value.is_leaving && now - value.last_seen < counted_lifetime;
}

bool may_be_alive(const peer& value, base::time_point now) {
    return !value.is_leaving && now - value.last_seen < alive_lifetime;
}

void record_contact(peer_directory& directory, const base::host_id& name, const std::string& address,
                    const base::zone_id& zone, base::time_point now) {
    directory.last_contact = now;
    directory.by_name[name] = {.address = address, .zone = zone, .last_seen = now, .is_leaving = false};
}

void record_received(peer_directory& directory, const base::host_id& name, base::time_point now) {
    directory.last_contact = now;
    const auto found = directory.by_name.find(name);
    if (found != directory.by_name.end())
        found->second.last_seen = std::max(found->second.last_seen, now);
}

void record_gossip(peer_directory& directory, const base::host_id& name, const peer& reported) {
    const auto [found, is_new] = directory.by_name.try_emplace(name);
    peer& known = found->second;
    if (is_new) {
        known.address = reported.address;
        known.zone = reported.zone;
    }
    known.last_seen = std::max(known.last_seen, reported.last_seen);
}

void record_leaving(peer_directory& directory, const base::host_id& name) {
    const auto found = directory.by_name.find(name);
    if (found != directory.by_name.end())
        found->second.is_leaving = true;
}

bool may_miss_updates(const peer_directory& directory, base::time_point now) {
    // Also true while no other host is known, as the host may have been isolated since its start.
    if (now - directory.last_contact >= cut_off_silence)
        return true;
    if (directory.by_name.size() > max_hosts_in_small_cluster)
        return false;
    return std::ranges::any_of(directory.by_name, [now](const auto& item) {
        return may_be_reachable(item.second, now) && now - item.second.last_seen >= max_silence;
    });
}

std::vector<std::string> addresses_of_all(const peer_directory& directory, base::time_point now) {
    std::vector<std::string> addresses;
    for (const auto& [name, known] : directory.by_name)
        if (may_be_reachable(known, now))
            addresses.push_back(known.address);
    return addresses;
}

namespace {

/// When any other host was last seen.
base::time_point latest_contact_of_any(const peer_directory& directory) {
    base::time_point last_contact{};
    for (const auto& [name, known] : directory.by_name)
        last_contact = std::max(last_contact, known.last_seen);
    return last_contact;
}

} // namespace

int count_alive(const peer_directory& directory) {
    // NOTE: Compares with the most recent contact rather than with the current time. Otherwise an isolated
    // host would stop counting the others and use the whole of the shared limits, while the others keep
    // using their parts.
    const base::time_point last_contact = latest_contact_of_any(directory);
    return static_cast<int>(std::ranges::count_if(directory.by_name, [last_contact](const auto& item) {
        return last_contact - item.second.last_seen < counted_lifetime;
    }));
}

double position_among_alive(const peer_directory& directory, const base::host_id& own) {
    const base::time_point last_contact = latest_contact_of_any(directory);
    const auto before = std::ranges::count_if(directory.by_name, [last_contact, &own](const auto& item) {
        return item.first < own && last_contact - item.second.last_seen < counted_lifetime;
    });
    return static_cast<double>(before) / (count_alive(directory) + 1);
}

std::map<base::host_id, peer> most_recently_seen(const peer_directory& directory, std::size_t count,
                                                 base::time_point now) {
    std::vector<const std::pair<const base::host_id, peer>*> alive;
    for (const auto& item : directory.by_name)
        if (may_be_alive(item.second, now))
            alive.push_back(&item);
    const auto latest = alive.begin() + static_cast<std::ptrdiff_t>(std::min(count, alive.size()));
    std::ranges::partial_sort(alive, latest, std::ranges::greater{},
                              [](const auto* item) { return item->second.last_seen; });
    std::map<base::host_id, peer> result;
    for (auto item = alive.begin(); item != latest; ++item)
        result.insert(**item);
    return result;
}

std::vector<std::string> sample_peers(const peer_directory& directory, std::size_t count,
                                      base::time_point now, std::mt19937_64& random) {
    std::vector<std::string> alive;
    std::vector<std::string> silent = directory.seeds;
    for (const auto& [name, known] : directory.by_name)
        (may_be_alive(known, now) ? alive : silent).push_back(known.address);
    std::vector<std::string> sampled;
    std::ranges::sample(alive, std::back_inserter(sampled), static_cast<std::ptrdiff_t>(count), random);
    std::uniform_int_distribution<int> draw(0, silent_peer_interval - 1);
    if (sampled.empty() || draw(random) == 0)
        std::ranges::sample(silent, std::back_inserter(sampled), 1, random);
    return sampled;
}

} // namespace postpaddle::host
