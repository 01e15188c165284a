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
    std::uint64_t arrival = 0; ///< Counts arrivals, so that no two entries are equal.
    base::request_id id;
    double cost = 0; ///< Engine seconds that the request is expected to take.

    auto operator<=>(const queue_entry& other) const {
        return std::tie(this->priority, this->deadline, this->arrival) <=>
               std::tie(other.priority, other.deadline, other.arrival);
    }
    bool operator==(const queue_entry& other) const { return this->arrival == other.arrival; }
};

/// One organisation's queue and how much service it has had, in weighted engine seconds.
struct organisation_queue {
    std::set<queue_entry> entries;
    double virtual_time = 0;
    double queued_cost = 0;
    std::uint64_t dispatched = 0;
    double weight = 1;
    double demand = 0; ///< Engine seconds asked for a second of late, refused ones too.
    base::time_point demand_at{};
};

/// Start-time fair queueing between the organisations that wait for one deployment.
///
/// Source: Goyal, Vin and Cheng, "Start-time fair queueing" (1997). An organisation that was idle
/// starts at the queue's virtual time: it can't save up service, and a flood of another can't
/// delay it by more than the request in progress.
struct fair_queue {
    std::unordered_map<base::organisation_id, organisation_queue> organisations;
    /// Organisations with a queue, by virtual time: the least served first.
    std::set<std::pair<double, base::organisation_id>> waiting;
    double virtual_time = 0;
    std::size_t length = 0;
    double queued_cost = 0;
    double fair_level = 0; ///< Demand a unit of weight that fair service can meet now.
    base::time_point level_at{};
};

/// Counts a request that was asked for into its organisation's demand.
void note_demand(fair_queue& queue, const base::organisation_id& organisation, double cost, double weight,
                 base::time_point now);

/// Whether an organisation asks for more than max-min fair service would give it. Costs are in seconds of
/// all engines, so a second of time has one to give.
/// Source: Bertsekas and Gallager, "Data Networks" (1992), section 6.5.2.
[[nodiscard]] bool is_beyond_share(fair_queue& queue, const base::organisation_id& organisation,
                                   base::time_point now);

/// Adds a request to its organisation's queue.
void enqueue(fair_queue& queue, const base::organisation_id& organisation, queue_entry entry);

/// Takes a request out without serving it; says whether it was there.
bool remove(fair_queue& queue, const base::organisation_id& organisation, const queue_entry& entry);

/// The least served organisation that waits.
[[nodiscard]] std::optional<base::organisation_id> next_in_service(const fair_queue& queue);

/// Takes a request out as served and charges its cost by the organisation's weight.
void charge(fair_queue& queue, const base::organisation_id& organisation, const queue_entry& entry,
            double weight);

/// Queued cost that fair service would at most place before a new request of this organisation.
[[nodiscard]] double cost_ahead(const fair_queue& queue, const base::organisation_id& organisation,
                                double cost);

} // namespace postpaddle::decision
