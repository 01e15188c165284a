// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <unordered_map>
#include <vector>

namespace postpaddle::decision {

/// What one participant demands of a shared capacity, in the capacity's unit.
struct share_demand {
    double amount = 0;
    double weight = 1; ///< Above 0.

    bool operator==(const share_demand&) const = default;
};

/// Max-min fair level: the demands, each capped at its weight times the level, add up to the capacity.
/// Infinite if the capacity satisfies all demands.
/// Source: Bertsekas and Gallager, "Data Networks" (1992), section 6.5.2.
[[nodiscard]] double max_min_level(std::vector<share_demand> demands, double capacity);

/// Engine memory in tokens by share key, see `host::key_of(service, organisation)`.
using share_amounts = std::unordered_map<std::uint32_t, double>;

/// How a service's engine memory is shared while requests wait.
struct fair_shares {
    share_amounts in_use;                                   ///< By the requests of all hosts.
    double level = std::numeric_limits<double>::infinity(); ///< Share of an organisation, in tokens.
};

/// Shares of a capacity in tokens. A share's demand is what it uses and what its waiting requests need.
[[nodiscard]] fair_shares make_fair_shares(share_amounts in_use, const share_amounts& waiting,
                                           double capacity);

/// Memory in use by a share's requests, in tokens.
[[nodiscard]] double tokens_in_use(const fair_shares& shares, std::uint32_t key);

/// Whether a request is beyond its organisation's share, of which `taken` tokens are in use or needed by
/// requests of the same share that go first. A request that crosses the level counts as within the share if
/// more than half of it is. The only request of an organisation is never beyond its share.
[[nodiscard]] bool is_beyond_share(const fair_shares& shares, double taken, double tokens);

} // namespace postpaddle::decision
