// SPDX-License-Identifier: BSD-2-Clause
#include <host/forwarding_peers.h>

#include <algorithm>
#include <vector>

namespace postpaddle::host {

namespace {

using namespace std::chrono_literals;

/// How long a host's word on its links, or its silence, counts.
constexpr base::duration report_lifetime = 2s;
/// A host seen this recently is preferred: others may have died without a word.
constexpr base::duration fresh_contact = 5s;
/// Hosts without links, while none with links is known, after which the service counts as down for all.
constexpr std::size_t max_unreachable_hosts = 8;
/// Hosts of the own zone that may decline a request before those of other zones are drawn as well.
constexpr std::size_t max_own_zone_tries = 2;

bool is_current(base::time_point at, base::time_point now) { return now - at < report_lifetime; }

/// What is currently known of the hosts' links to a service.
struct link_summary {
    std::set<base::host_id> unreachable;
    bool does_any_reach = false;
};

link_summary summarise(const forwarding_peers& peers, const forwarding_query& query) {
    link_summary summary;
    const auto reports = peers.links.find(query.service);
    if (reports == peers.links.end())
        return summary;
    for (const auto& [host, report] : reports->second) {
        if (!is_current(report.at, query.now))
            continue;
        if (report.link == peer_link::unreachable)
            summary.unreachable.insert(host);
        else
            summary.does_any_reach = true;
    }
    return summary;
}

bool has_failed(const forwarding_peers& peers, const base::host_id& host, base::time_point now) {
    const auto found = peers.failed_at.find(host);
    return found != peers.failed_at.end() && is_current(found->second, now);
}

using candidate = std::pair<const base::host_id, peer>;
using candidates = std::vector<const candidate*>;

candidates eligible_hosts(const peer_directory& directory, const forwarding_peers& peers,
                          const forwarding_query& query, const link_summary& links) {
    candidates eligible;
    for (const candidate& item : directory.by_name) {
        const auto& [host, known] = item;
        const bool is_allowed = !query.allowed_zones || query.allowed_zones->contains(known.zone);
        if (is_allowed && may_be_alive(known, query.now) && !links.unreachable.contains(host) &&
            !query.excluded.contains(host) && !has_failed(peers, host, query.now))
            eligible.push_back(&item);
    }
    return eligible;
}

/// Keeps those for which the condition holds, unless it holds for none.
template <class Condition> void prefer(candidates& hosts, const Condition& is_preferred) {
    if (std::ranges::any_of(hosts, is_preferred))
        std::erase_if(hosts, [&](const candidate* host) { return !is_preferred(host); });
}

/// Whether at least half of the own zone's hosts are candidates. Fewer would get the load of all others.
bool is_own_zone_sound(const peer_directory& directory, const candidates& eligible, const base::zone_id& zone,
                       base::time_point now) {
    const auto alive = std::ranges::count_if(directory.by_name, [&](const candidate& item) {
        return item.second.zone == zone && may_be_alive(item.second, now);
    });
    const auto left =
        std::ranges::count_if(eligible, [&](const candidate* item) { return item->second.zone == zone; });
    return left > 0 && 2 * left >= alive;
}

} // namespace

void record_peer_link(forwarding_peers& peers, const std::string& service, const base::host_id& host,
                      peer_link link, base::time_point now) {
    auto& reports = peers.links[service];
    std::erase_if(reports, [now](const auto& item) { return !is_current(item.second.at, now); });
    reports[host] = {.link = link, .at = now};
}

void record_peer_failure(forwarding_peers& peers, const base::host_id& host, base::time_point now) {
    std::erase_if(peers.failed_at, [now](const auto& item) { return !is_current(item.second, now); });
    peers.failed_at[host] = now;
}

std::optional<forwarding_target> choose_forwarding_target(const peer_directory& directory,
                                                          const forwarding_peers& peers,
                                                          const forwarding_query& query,
                                                          std::mt19937_64& random) {
    const link_summary links = summarise(peers, query);
    if (!links.does_any_reach && links.unreachable.size() >= max_unreachable_hosts)
        return std::nullopt;
    candidates hosts = eligible_hosts(directory, peers, query, links);
    if (query.excluded.size() < max_own_zone_tries &&
        is_own_zone_sound(directory, hosts, query.own_zone, query.now))
        prefer(hosts, [&](const candidate* host) { return host->second.zone == query.own_zone; });
    prefer(hosts, [&](const candidate* host) { return query.now - host->second.last_seen < fresh_contact; });
    if (hosts.empty())
        return std::nullopt;
    std::uniform_int_distribution<std::size_t> draw(0, hosts.size() - 1);
    const candidate& drawn = *hosts[draw(random)];
    return forwarding_target{.host = drawn.first, .address = drawn.second.address};
}

} // namespace postpaddle::host
