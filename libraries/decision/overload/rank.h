// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>

#include <optional>
#include <vector>

namespace postpaddle::decision {

/// Largest rank of a waiting request; less urgent ones have this rank too.
inline constexpr int max_rank = 15;

/// Distinct priorities among which a service's requests are ranked, in ascending order; the first is the most
/// urgent. Made from the settings alone, so that all hosts with the same settings compute the same ranks.
struct rank_table {
    std::vector<int> organisations; ///< Of all organisations in the settings.
    std::vector<int> routes;        ///< Of the routes that use the service.

    bool operator==(const rank_table&) const = default;
};

/// Sorts the priorities and removes duplicates.
[[nodiscard]] rank_table make_rank_table(std::vector<int> organisations, std::vector<int> routes);

/// Whether the service's requests have different ranks.
[[nodiscard]] bool has_ranks(const rank_table& table);

/// Rank from 0 (most urgent) to `max_rank`: by the organisation's priority, then by the route's. Where there
/// are more combinations than ranks, neighbouring priorities share a rank.
///
/// Requests without an organisation rank with the least urgent organisations. Priorities that the table does
/// not have, for example because the settings changed, rank as the next less urgent one that it has.
[[nodiscard]] int rank_of(const rank_table& table, std::optional<int> organisation, int route);

/// Rank of waiting requests of hosts that report none: the middle of the ranks in use.
[[nodiscard]] int middle_rank(const rank_table& table);

/// Rank of a request that has waited: it improves by one for each latency target, so that less urgent
/// requests are not starved.
[[nodiscard]] int rank_after_wait(int rank, base::duration waited, base::duration latency_target);

} // namespace postpaddle::decision
