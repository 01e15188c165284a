// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>

#include <cstddef>
#include <map>
#include <optional>

/// Failure detector for the links between this host and a service's upstreams.
///
/// A host that fails to connect to several upstreams in a row and to none of the others suspects its own
/// links before it suspects the upstreams. The suspicion ends with the first new connection. Connections that
/// were open before say nothing: a partition may leave them alone while new ones fail.
namespace postpaddle::decision {

/// Instances to which new connections must fail, and none succeed, before the host's own links are suspected.
/// A service with fewer instances needs all of them.
inline constexpr std::size_t min_unreached_instances = 2;

/// What this host knows of its links to one service.
struct service_reachability {
    base::time_point last_connected{}; ///< Start of the last new connection that succeeded; unset before it.
    /// Instances to which new connections failed since then: when the last one did.
    std::map<base::upstream_id, base::time_point> unreached{};
    std::optional<base::time_point> unreachable_since{}; ///< Set while this host's own links are suspected.
    int failures_since = 0; ///< Further failed attempts since then, which confirm the suspicion.

    bool operator==(const service_reachability&) const = default;
};

/// An attempt to open a new connection to an instance.
struct connection_attempt {
    base::upstream_id instance;
    base::time_point started{};
    std::size_t instances = 0; ///< Instances of the service that are listed.
};

/// Records an attempt that failed. Returns whether the service counts as unreachable from now on.
bool record_unconnected(service_reachability& reach, const connection_attempt& attempt, base::time_point now);

/// What a new connection ended.
enum class suspicion {
    none,        ///< The service was reachable.
    unconfirmed, ///< The first attempt after the suspicion succeeded: the failures were the instances' own.
    confirmed,   ///< The links had failed.
};

/// Records an attempt that succeeded. Returns the suspicion that it ended.
suspicion record_connected(service_reachability& reach, base::time_point started);

/// Whether this host's links to the service are suspected to have failed.
[[nodiscard]] bool is_unreachable(const service_reachability& reach);

/// Whether a failure of this host at one of the service's upstreams tells others something about the
/// upstream: the host has opened a connection to the service since, so that its own links are not to blame.
[[nodiscard]] bool is_credible(const service_reachability& reach, base::time_point failed_at);

} // namespace postpaddle::decision
