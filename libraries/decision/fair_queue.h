// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace postpaddle::decision {

/// A queued request, ordered by priority, then deadline, then arrival.
struct queue_entry {
    int priority = 0;
    base::time_point deadline{};
    std::uint64_t arrival = 0; ///< Unique sequence number.
    base::request_id id;
    double cost = 0; ///< Expected engine seconds.

    auto operator<=>(const queue_entry& other) const {
        return std::tie(this->priority, this->deadline, this->arrival) <=>
               std::tie(other.priority, other.deadline, other.arrival);
    }
    bool operator==(const queue_entry& other) const { return this->arrival == other.arrival; }
};

/// An organisation's queue and its virtual time in weighted engine seconds.
struct organisation_queue {
    std::set<queue_entry> entries;
    double virtual_time = 0;
    double queued_cost = 0;
    std::uint64_t dispatched = 0;
    double weight = 1;
    double demand = 0; ///< Recently requested engine seconds per second, including refused requests.
    base::time_point demand_at{};
};

/// Start-time fair queueing between the organisations that use a deployment.
///
/// Source: Goyal, Vin and Cheng, "Start-time fair queueing" (1997). An organisation that was idle
/// starts at the queue's virtual time, so it can't accumulate service, and a flood from another
/// organisation delays it by at most the request in progress.
struct fair_queue {
    std::unordered_map<base::organisation_id, organisation_queue> organisations;
    /// Organisations with queued requests, ordered by virtual time.
    std::set<std::pair<double, base::organisation_id>> waiting;
    double virtual_time = 0;
    std::size_t length = 0;
    double queued_cost = 0;
    double fair_level = 0; ///< Demand per unit of weight that fair service can currently satisfy.
    base::time_point level_at{};
};

/// Adds a request's cost to its organisation's demand.
void record_demand(fair_queue& queue, const base::organisation_id& organisation, double cost, double weight,
                   base::time_point now);

/// Whether an organisation demands more than its max-min fair share. Costs are fractions of the whole
/// deployment, so the capacity is one cost second per second.
/// Source: Bertsekas and Gallager, "Data Networks" (1992), section 6.5.2.
[[nodiscard]] bool is_beyond_share(fair_queue& queue, const base::organisation_id& organisation,
                                   base::time_point now);

/// Adds a request to its organisation's queue.
void enqueue(fair_queue& queue, const base::organisation_id& organisation, queue_entry entry);

/// Removes a request without serving it. Returns whether it was queued.
bool remove(fair_queue& queue, const base::organisation_id& organisation, const queue_entry& entry);

/// The waiting organisation with the smallest virtual time.
[[nodiscard]] std::optional<base::organisation_id> next_in_service(const fair_queue& queue);

/// Removes a request as served and charges its cost, divided by the weight, to its organisation.
void charge(fair_queue& queue, const base::organisation_id& organisation, const queue_entry& entry,
            double weight);

/// Upper bound on the queued cost that is served before a new request of this organisation.
[[nodiscard]] double cost_ahead(const fair_queue& queue, const base::organisation_id& organisation,
                                double cost);

} // namespace postpaddle::decision
