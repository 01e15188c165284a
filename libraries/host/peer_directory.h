// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace postpaddle::host {

/// Another host as known to this one.
struct peer {
    std::string address; ///< IP address and port for heartbeats.
    base::zone_id zone;
    /// When any host last received a message from it directly, or when the store listed it.
    base::time_point last_seen{};
    bool is_leaving = false;

    bool operator==(const peer&) const = default;
};

/// Other hosts known from the store, from heartbeats, and from seeds in the settings.
struct peer_directory {
    std::map<base::host_id, peer> by_name;
    std::vector<std::string> seeds;  ///< Addresses of unnamed hosts; contacted while no other host is known,
                                     ///< and occasionally after that.
    base::time_point last_contact{}; ///< When this host last received a message from any other host.
};

/// With up to this many other hosts, each can be sent every update, and a single silent host indicates a
/// possible network partition. In larger systems some hosts are always down, so a single silent host is not
/// significant. Hosts that are cut off together with others are rare there: heartbeats go to random hosts, so
/// a partition that halves the system would have to halve it exactly.
inline constexpr std::size_t max_hosts_in_small_cluster = 16;

/// Records a message received directly from a host, with its address and zone.
void record_contact(peer_directory& directory, const base::host_id& name, const std::string& address,
                    const base::zone_id& zone, base::time_point now);

/// Records any other message from a host; only refreshes hosts that are already known.
void record_received(peer_directory& directory, const base::host_id& name, base::time_point now);

/// Merges another host's report about a host. Does not change a known address.
void record_gossip(peer_directory& directory, const base::host_id& name, const peer& reported);

/// Records that a host announced its departure.
void record_leaving(peer_directory& directory, const base::host_id& name);

/// Whether a host may be reachable and is worth a datagram. Uses a long lifetime, since updates about a
/// host are infrequent in a large system, and a host without reports would pick engines that others have
/// filled.
[[nodiscard]] bool may_be_reachable(const peer& value, base::time_point now);

/// Whether a host was seen recently enough to be sent a request that needs an answer.
[[nodiscard]] bool may_be_alive(const peer& value, base::time_point now);

/// Whether this host may miss updates from other hosts and should read them from the store: it
/// receives nothing, or, in a small cluster, one of the hosts has become silent.
[[nodiscard]] bool may_miss_updates(const peer_directory& directory, base::time_point now);

/// Addresses of all hosts that may be reachable.
[[nodiscard]] std::vector<std::string> addresses_of_all(const peer_directory& directory,
                                                        base::time_point now);

/// Number of other hosts counted as alive: those not silent for long compared with the most recently seen
/// host.
[[nodiscard]] int count_alive(const peer_directory& directory);

/// Rank of a host among the hosts counted as alive, sorted by name, as a fraction in [0, 1).
[[nodiscard]] double position_among_alive(const peer_directory& directory, const base::host_id& own);

/// Up to `count` most recently seen hosts that may be alive. Heartbeats carry these, so that the state of
/// each host reaches all others within seconds.
[[nodiscard]] std::map<base::host_id, peer> most_recently_seen(const peer_directory& directory,
                                                               std::size_t count, base::time_point now);

/// Addresses of up to `count` random hosts that may be alive, for the next heartbeats. Sometimes adds a
/// silent host or a seed, so that separated hosts find each other again.
[[nodiscard]] std::vector<std::string> sample_peers(const peer_directory& directory, std::size_t count,
                                                    base::time_point now, std::mt19937_64& random);

} // namespace postpaddle::host
