// SPDX-License-Identifier: BSD-2-Clause
#include <decision/overload/rank.h>

#include <algorithm>

namespace postpaddle::decision {

namespace {

constexpr std::size_t rank_count = max_rank + 1;
/// Levels that are kept for routes where organisations have many priorities. Services rarely have more.
constexpr std::size_t kept_route_levels = 4;
/// Middle of all ranks; used if the table is empty.
constexpr int default_middle_rank = max_rank / 2;

/// Number of levels of organisations, and of levels of routes within each of them.
struct rank_levels {
    std::size_t organisations = 1;
    std::size_t routes = 1;
};

rank_levels levels_of(const rank_table& table) {
    const std::size_t organisations = std::clamp<std::size_t>(table.organisations.size(), 1, rank_count);
    const std::size_t max_route_levels = std::max(kept_route_levels, rank_count / organisations);
    const std::size_t routes = std::clamp<std::size_t>(table.routes.size(), 1, max_route_levels);
    return {.organisations = std::min(organisations, rank_count / routes), .routes = routes};
}

/// Position of a priority among the distinct ones, scaled to the number of levels.
std::size_t level_of(const std::vector<int>& distinct, int priority, std::size_t levels) {
    if (distinct.empty())
        return 0;
    const auto found = std::ranges::lower_bound(distinct, priority);
    const std::size_t index =
        std::min(static_cast<std::size_t>(found - distinct.begin()), distinct.size() - 1);
    return index * levels / distinct.size();
}

std::vector<int> distinct_of(std::vector<int> priorities) {
    std::ranges::sort(priorities);
    // NOTE: `std::ranges::unique` is not supported by the linter's compiler.
    priorities.erase(std::unique(priorities.begin(), priorities.end()), priorities.end());
    priorities.shrink_to_fit();
    return priorities;
}

} // namespace

rank_table make_rank_table(std::vector<int> organisations, std::vector<int> routes) {
    return {.organisations = distinct_of(std::move(organisations)), .routes = distinct_of(std::move(routes))};
}

bool has_ranks(const rank_table& table) { return table.organisations.size() > 1 || table.routes.size() > 1; }

int rank_of(const rank_table& table, std::optional<int> organisation, int route) {
    const rank_levels levels = levels_of(table);
    const std::size_t organisation_level =
        organisation ? level_of(table.organisations, *organisation, levels.organisations)
                     : levels.organisations - 1;
    return static_cast<int>(organisation_level * levels.routes +
                            level_of(table.routes, route, levels.routes));
}

int middle_rank(const rank_table& table) {
    if (table.organisations.empty() && table.routes.empty())
        return default_middle_rank;
    const rank_levels levels = levels_of(table);
    return static_cast<int>((levels.organisations * levels.routes - 1) / 2);
}

int rank_after_wait(int rank, base::duration waited, base::duration latency_target) {
    if (latency_target <= base::duration::zero() || waited <= base::duration::zero())
        return std::clamp(rank, 0, max_rank);
    const auto improvement = std::min<base::duration::rep>(waited / latency_target, max_rank);
    return std::clamp(rank - static_cast<int>(improvement), 0, max_rank);
}

} // namespace postpaddle::decision
