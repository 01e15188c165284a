// SPDX-License-Identifier: BSD-2-Clause
#include <decision/fair_queue.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace postpaddle::decision {

namespace {

using namespace std::chrono_literals;

/// Time constant of an organisation's demand, in seconds.
constexpr double demand_memory = 8;
/// How long a fair level is used before it is worked out again.
constexpr base::duration level_lifetime = 50ms;
/// Part of the engines' time that is given out as fair shares; the rest is what estimates may be wrong by.
constexpr double given_out = 0.95;
/// An organisation is beyond its share from this factor of it on; less is the chance of its own arrivals.
constexpr double chance_factor = 1.2;
/// An organisation without demand for this long is forgotten.
constexpr base::duration idle_lifetime = 60s;

double demand_now(const organisation_queue& own, base::time_point now) {
    return own.demand * std::exp(-base::to_seconds(now - own.demand_at) / demand_memory);
}

/// Level at which the demands, each cut at its weight times the level, add up to what is given out.
double work_out_level(const fair_queue& queue, base::time_point now) {
    struct wish {
        double per_weight = 0;
        double weight = 0;
    };
    std::vector<wish> wishes;
    double weights = 0;
    for (const auto& [id, own] : queue.organisations) {
        wishes.push_back({demand_now(own, now) / own.weight, own.weight});
        weights += own.weight;
    }
    // 1. Give everybody the same level until the smallest demand is met.
    std::ranges::sort(wishes, {}, &wish::per_weight);
    double left = given_out;
    for (const wish& next : wishes) {
        // 2. When the rest can't meet the next demand, it is divided among all that are left.
        if (next.per_weight * weights >= left)
            return left / weights;
        // 3. Else that demand is met whole and leaves.
        left -= next.per_weight * next.weight;
        weights -= next.weight;
    }
    return std::numeric_limits<double>::infinity();
}

} // namespace

void note_demand(fair_queue& queue, const base::organisation_id& organisation, double cost, double weight,
                 base::time_point now) {
    organisation_queue& own = queue.organisations[organisation];
    own.demand = demand_now(own, now) + cost / demand_memory;
    own.demand_at = now;
    own.weight = weight;
}

bool is_beyond_share(fair_queue& queue, const base::organisation_id& organisation, base::time_point now) {
    if (now - queue.level_at >= level_lifetime) {
        std::erase_if(queue.organisations, [now](const auto& item) {
            return item.second.entries.empty() && now - item.second.demand_at > idle_lifetime;
        });
        queue.fair_level = work_out_level(queue, now);
        queue.level_at = now;
    }
    const auto found = queue.organisations.find(organisation);
    return found != queue.organisations.end() &&
           demand_now(found->second, now) > found->second.weight * queue.fair_level * chance_factor;
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
    // Each other organisation is served at most about as much as this one meanwhile.
    return own + std::min(queue.queued_cost - own, static_cast<double>(others) * (own + cost));
}

} // namespace postpaddle::decision
