// SPDX-License-Identifier: BSD-2-Clause
#include <decision/choice_cost.h>

#include <algorithm>
#include <numeric>

namespace postpaddle::decision {

namespace {

// Costs are in seconds of expected delay, so they can be added.

/// Cost of an upstream in another availability zone.
constexpr double other_zone_cost = 0.015;
/// Cost of an upstream with a failure rate of 1.
constexpr double failure_cost = 0.5;
/// Cost of an upstream that this host avoids now, see `is_avoided`. Charged once, and high enough that
/// every other one is preferred.
constexpr double avoided_upstream_cost = 30;
/// Cost for each other host whose word counts that it could not reach the upstream recently, whether this
/// host avoids it or not. Low, as the fault may be on their side.
constexpr double unreachable_report_cost = 0.3;
/// Random tie-breaker, so that hosts with the same view do not all choose the same upstream.
constexpr double tie_spread = 0.003;
/// `choose_spread` draws from this fraction of the candidates, at least two.
constexpr double best_fraction = 0.25;
/// Maximum additional cost of a candidate drawn: a prompt that queues behind another costs more.
constexpr double max_spread_cost = 0.1;
/// Lower bound of a weight, so that a candidate without any free capacity can still be drawn.
constexpr double min_weight = 1e-6;

/// Index drawn with a probability proportional to its weight.
std::size_t draw(const std::vector<double>& weights, std::mt19937_64& random) {
    std::uniform_real_distribution<double> part(0, std::accumulate(weights.begin(), weights.end(), 0.0));
    double left = part(random);
    for (std::size_t index = 0; index < weights.size(); ++index) {
        left -= weights[index];
        if (left < 0)
            return index;
    }
    return weights.size() - 1;
}

} // namespace

bool can_prefill(const instance& candidate) {
    return candidate.entry.stage == settings::engine_stage::prefill ||
           candidate.entry.stage == settings::engine_stage::both;
}

bool can_decode(const instance& candidate) {
    return candidate.entry.stage != settings::engine_stage::prefill;
}

std::vector<const instance*> eligible_instances(const instance_table& table, const choice_context& context,
                                                const std::function<bool(const instance&)>& can_serve) {
    std::vector<const instance*> known;
    std::vector<const instance*> listed;
    std::vector<const instance*> unlisted;
    bool has_resting = false; // Whether a listed one may serve later.
    for (const auto& [id, candidate] : table.by_id) {
        if (candidate.entry.service != context.service || !can_serve(candidate) ||
            !may_serve_version(context, candidate))
            continue;
        if (check_placement(table, context.limits, candidate, context.now) != placement_verdict::allowed) {
            // Only matters to unlisted ones, which are rare.
            has_resting |= table.has_unlisted && candidate.state == listing::listed &&
                           next_placement_time(table, context.limits, candidate, context.now).has_value();
            continue;
        }
        if (candidate.state == listing::listed)
            (is_load_known(candidate, context.now) ? known : listed).push_back(&candidate);
        if (candidate.state == listing::unlisted)
            unlisted.push_back(&candidate);
    }
    const auto without_tried = [&context](std::vector<const instance*> candidates) {
        std::erase_if(candidates, [&context](const instance* candidate) {
            return context.excluded.contains(candidate->entry.id);
        });
        return candidates;
    };
    if (known.empty() && listed.empty())
        return has_resting ? std::vector<const instance*>{} : without_tried(std::move(unlisted));
    if (auto untried = without_tried(std::move(known)); !untried.empty())
        return untried;
    return without_tried(std::move(listed));
}

double base_cost(const instance& candidate, const choice_context& context, std::mt19937_64& random) {
    std::uniform_real_distribution<double> tie(0, tie_spread);
    double cost = tie(random) + failure_cost * candidate.health.failure_rate;
    if (candidate.entry.availability_zone != context.own_zone)
        cost += other_zone_cost;
    if (is_avoided(candidate, context.now))
        cost += avoided_upstream_cost;
    return cost + unreachable_report_cost * count_avoiding_hosts(candidate, context.now);
}

scored_candidate cheapest(const std::vector<const instance*>& candidates,
                          const std::function<double(const instance&)>& cost_of) {
    scored_candidate best;
    for (const instance* candidate : candidates) {
        const double cost = cost_of(*candidate);
        if (cost < best.cost)
            best = {candidate, cost};
    }
    return best;
}

scored_candidate choose_spread(std::vector<scored_candidate>& candidates,
                               const std::function<double(const instance&)>& weight_of,
                               std::mt19937_64& random) {
    const auto is_cheaper = [](const scored_candidate& left, const scored_candidate& right) {
        return left.cost < right.cost;
    };
    if (candidates.empty())
        return {};
    const double limit = std::ranges::min_element(candidates, is_cheaper)->cost + max_spread_cost;
    const auto fraction = static_cast<std::size_t>(best_fraction * static_cast<double>(candidates.size()));
    const std::size_t best = std::max<std::size_t>(2, fraction);
    if (candidates.size() > best) {
        std::ranges::nth_element(candidates, candidates.begin() + static_cast<std::ptrdiff_t>(best),
                                 is_cheaper);
        candidates.resize(best);
    }
    std::erase_if(candidates, [limit](const scored_candidate& candidate) { return candidate.cost > limit; });
    std::vector<double> weights;
    weights.reserve(candidates.size());
    for (const scored_candidate& candidate : candidates)
        weights.push_back(std::max(min_weight, weight_of(*candidate.chosen)));
    const std::size_t first = draw(weights, random);
    if (candidates.size() == 1)
        return candidates[first];
    weights[first] = 0;
    const std::size_t second = draw(weights, random);
    return is_cheaper(candidates[second], candidates[first]) ? candidates[second] : candidates[first];
}

} // namespace postpaddle::decision
