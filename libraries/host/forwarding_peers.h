// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>
#include <host/peer_directory.h>

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

/// Choice of the host to which a request is forwarded whose service this host can't reach.
///
/// Nothing is asked beforehand: each forwarded request and each answer to one shows whether a host reaches
/// the service.
namespace postpaddle::host {

/// What another host showed of its links to a service.
enum class peer_link {
    reaches,     ///< It has served a forwarded request.
    unreachable, ///< It said that it can't reach the service either.
};

/// The latest of these of one host.
struct peer_link_report {
    peer_link link = peer_link::reaches;
    base::time_point at{};

    bool operator==(const peer_link_report&) const = default;
};

/// What is known of the other hosts as receivers of forwarded requests.
struct forwarding_peers {
    std::map<std::string, std::map<base::host_id, peer_link_report>> links; ///< By service.
    std::map<base::host_id, base::time_point> failed_at; ///< Hosts that did not answer, or take no requests.

    bool operator==(const forwarding_peers&) const = default;
};

/// What is sought: a host for one request.
struct forwarding_query {
    std::string service;
    base::zone_id own_zone;
    /// Zones whose hosts may receive the request's body; none: all.
    std::optional<std::set<base::zone_id>> allowed_zones{};
    std::set<base::host_id> excluded{}; ///< Hosts that declined the request.
    base::time_point now{};
};

struct forwarding_target {
    base::host_id host;
    std::string address; ///< Heartbeat address.

    bool operator==(const forwarding_target&) const = default;
};

/// Records what a host showed of its links to a service; drops expired entries of the service.
void record_peer_link(forwarding_peers& peers, const std::string& service, const base::host_id& host,
                      peer_link link, base::time_point now);

/// Records that a host did not answer or took no request.
void record_peer_failure(forwarding_peers& peers, const base::host_id& host, base::time_point now);

/// Draws a host, so that many hosts without links spread over those that have some. Hosts of the own zone
/// come first unless many of them can't reach the service or declined the request. Returns nothing if no host
/// is left, or if so many said that they can't reach the service, and none does, that it is down for all.
[[nodiscard]] std::optional<forwarding_target> choose_forwarding_target(const peer_directory& directory,
                                                                        const forwarding_peers& peers,
                                                                        const forwarding_query& query,
                                                                        std::mt19937_64& random);

} // namespace postpaddle::host
