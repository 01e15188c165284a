// SPDX-License-Identifier: BSD-2-Clause
#include <decision/fair_queue.h>

#include <decision/overload/fair_share.h>

#include <algorithm>
#include <cmath>

namespace postpaddle::decision {

namespace {

using namespace std::chrono_literals;

/// Time constant of the exponential decay of demand, in seconds.
constexpr double demand_time_constant = 8;
/// Lifetime of the cached fair level.
constexpr base::duration level_lifetime = 50ms;
/// Fraction of the engines' time allocated as fair shares; the rest is a margin for estimation errors.
constexpr double allocated_fraction = 0.95;
/// Factor by which demand may exceed the fair share, to tolerate random variation of arrivals.
constexpr double demand_tolerance = 1.2;
/// Organisations without demand for this long are removed.
constexpr base::duration idle_lifetime = 60s;

double demand_now(const organisation_queue& own, base::time_point now) {
    return own.demand * std::exp(-base::to_seconds(now - own.demand_at) / demand_time_constant);
}

/// Level at which the organisations' demands are capped to fit the allocated fraction.
double compute_fair_level(const fair_queue& queue, base::time_point now) {
    std::vector<share_demand> demands;
    demands.reserve(queue.organisations.size());
    for (const auto& [id, own] : queue.organisations)
        demands.push_back({.amount = demand_now(own, now), .weight = own.weight});
    return max_min_level(std::move(demands), allocated_fraction);
}

} // namespace

void record_demand(fair_queue& queue, const base::organisation_id& organisation, double cost, double weight,
                   base::time_point now) {
    organisation_queue& own = queue.organisations[organisation];
    own.demand = demand_now(own, now) + cost / demand_time_constant;
    own.demand_at = now;
    own.weight = weight;
}

bool is_beyond_share(fair_queue& queue, const base::organisation_id& organisation, base::time_point now) {
    if (now - queue.level_at >= level_lifetime) {
        std::erase_if(queue.organisations, [now](const auto& item) {
            return item.second.entries.empty() && now - item.second.demand_at > idle_lifetime;
        });
        queue.fair_level = compute_fair_level(queue, now);
        queue.level_at = now;
    }
    const auto found = queue.organisations.find(organisation);
    return found != queue.organisations.end() &&
           demand_now(found->second, now) > found->second.weight * queue.fair_level * demand_tolerance;
}

void enqueue(fair_queue& queue, const base::organisation_id& organisation, queue_entry entry) {
    organisation_queue& own = queue.organisations[organisation];
    // 1. A request's start tag is the greater of the virtual time and its flow's last finish tag.
    if (own.entries.empty()) {
        own.virtual_time = std::max(own.virtual_time, queue.virtual_time);
        queue.waiting.emplace(own.virtual_time, organisation);
    }
    own.queued_cost += entry.cost;
    queue.queued_cost += entry.cost;
    ++queue.length;
    own.entries.insert(std::move(entry));
}

bool remove(fair_queue& queue, const base::organisation_id& organisation, const queue_entry& entry) {
    const auto found = queue.organisations.find(organisation);
    if (found == queue.organisations.end() || found->second.entries.erase(entry) == 0)
        return false;
    found->second.queued_cost -= entry.cost;
    queue.queued_cost -= entry.cost;
    --queue.length;
    if (found->second.entries.empty())
        queue.waiting.erase({found->second.virtual_time, organisation});
    return true;
}

std::optional<base::organisation_id> next_in_service(const fair_queue& queue) {
    if (queue.waiting.empty())
        return std::nullopt;
    return queue.waiting.begin()->second;
}

void charge(fair_queue& queue, const base::organisation_id& organisation, const queue_entry& entry,
            double weight) {
    if (!remove(queue, organisation, entry))
        return;
    organisation_queue& own = queue.organisations[organisation];
    queue.waiting.erase({own.virtual_time, organisation});
    // 2. The virtual time is the start tag of the request in service.
    queue.virtual_time = std::max(queue.virtual_time, own.virtual_time);
    // 3. The finish tag is the start tag plus the request's length over the flow's weight.
    own.virtual_time += entry.cost / weight;
    ++own.dispatched;
    if (!own.entries.empty())
        queue.waiting.emplace(own.virtual_time, organisation);
}

double cost_ahead(const fair_queue& queue, const base::organisation_id& organisation, double cost) {
    const auto found = queue.organisations.find(organisation);
    const double own = found == queue.organisations.end() ? 0 : found->second.queued_cost;
    const std::size_t others = queue.waiting.size() - (own > 0 ? 1 : 0);
    // Meanwhile every other organisation receives at most about as much service as this one.
    return own + std::min(queue.queued_cost - own, static_cast<double>(others) * (own + cost));
}

} // namespace postpaddle::decision
