// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>

#include <map>
#include <string>

namespace postpaddle::host {

/// How long a granted share is valid, and so how long a reallocation takes to become effective.
inline constexpr base::duration share_lifetime = std::chrono::milliseconds(2'000);

/// Fraction of a limit or an upstream that a host may use until the grant expires.
struct share_grant {
    double share = 0; ///< 0 to 1.
    double demand = 0;
    base::time_point until{};
};

/// Shares granted for one key by its owner.
struct share_pool {
    std::map<base::host_id, share_grant> grants;
    base::time_point began{}; ///< When this host became the owner of the key.
};

/// All shares granted by this host as an owner.
struct share_table {
    std::map<std::string, share_pool> pools;
};

/// Answers a host's request for its share of `key`.
///
/// The sum of the unexpired grants never exceeds 1. While grants of a previous owner may still be in use,
/// no host gets more than an equal share.
[[nodiscard]] double grant_share(share_table& table, const std::string& key, const base::host_id& host,
                                 double demand, std::size_t working_hosts, base::time_point now);

/// Evicts keys for which no host has requested a share recently.
void evict_idle(share_table& table, base::time_point now);

/// A share from its holder's point of view.
struct held_share {
    double share = 1;
    base::time_point granted_at{};
    bool has_grant = false;
};

/// The share the holder may use now: the granted share while the grant is valid. If it is not renewed, the
/// share halves with each lifetime, down to half of an equal share. Without any grant, half of an equal
/// share, or all of it for a single host.
[[nodiscard]] double usable_share(const held_share& held, std::size_t working_hosts, base::time_point now);

} // namespace postpaddle::host
