// SPDX-License-Identifier: BSD-2-Clause
#include <decision/fair_queue.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace postpaddle::decision {

namespace {

using namespace std::chrono_literals;

/// Time constant of an organisation's demand, in seconds.
constexpr double demand_memory = 2;
/// How long a fair level is used before it is worked out again.
constexpr base::duration level_lifetime = 50ms;
/// Part of the engines' time that is given out as fair shares; the rest is what estimates may be wrong by.
constexpr double given_out = 0.95;
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
           demand_now(found->second, now) > found->second.weight * queue.fair_level;
}

void enqueue(fair_queue& queue, const base::organisation_id& organisation, queue_entry entry) {
    organisation_queue& own = queue.organisations[organisation];
    // 1. A request's start tag is the greater of the virtual time and its flow's last finish tag.
    if (own.entries.empty())
        own.virtual_time = std::max(own.virtual_time, queue.virtual_time);
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
    return true;
}

std::vector<base::organisation_id> service_order(const fair_queue& queue) {
    std::vector<std::pair<double, const base::organisation_id*>> waiting;
    for (const auto& [id, own] : queue.organisations)
        if (!own.entries.empty())
            waiting.emplace_back(own.virtual_time, &id);
    std::ranges::sort(waiting, [](const auto& left, const auto& right) {
        return std::tie(left.first, left.second->value) < std::tie(right.first, right.second->value);
    });
    std::vector<base::organisation_id> order;
    order.reserve(waiting.size());
    for (const auto& [virtual_time, id] : waiting)
        order.push_back(*id);
    return order;
}

void charge(fair_queue& queue, const base::organisation_id& organisation, const queue_entry& entry,
            double weight) {
    organisation_queue& own = queue.organisations[organisation];
    if (!remove(queue, organisation, entry))
        return;
    // 2. The virtual time is the start tag of the request in service.
    queue.virtual_time = std::max(queue.virtual_time, own.virtual_time);
    // 3. The finish tag is the start tag plus the request's length over the flow's weight.
    own.virtual_time += entry.cost / weight;
    ++own.dispatched;
}

double cost_ahead(const fair_queue& queue, const base::organisation_id& organisation) {
    const auto found = queue.organisations.find(organisation);
    const double own = found == queue.organisations.end() ? 0 : found->second.queued_cost;
    double ahead = own;
    // Each other organisation is served at most about as much as this one meanwhile.
    for (const auto& [id, other] : queue.organisations)
        if (id != organisation && !other.entries.empty())
            ahead += std::min(other.queued_cost, own + other.entries.begin()->cost);
    return ahead;
}

} // namespace postpaddle::decision
