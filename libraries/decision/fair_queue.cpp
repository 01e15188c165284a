// SPDX-License-Identifier: BSD-2-Clause
#include <decision/fair_queue.h>

#include <algorithm>

namespace postpaddle::decision {

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

double service_lead(const fair_queue& queue, const base::organisation_id& organisation) {
    const auto found = queue.organisations.find(organisation);
    return found == queue.organisations.end() ? 0 : found->second.virtual_time - queue.virtual_time;
}

} // namespace postpaddle::decision
