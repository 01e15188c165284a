// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/choice_context.h>
#include <decision/instance_table.h>

#include <algorithm>
#include <limits>
#include <random>
#include <string>
#include <vector>

/// Estimates the loads of the plain upstreams that a request may be sent to, and chooses among them.
namespace postpaddle::decision {

/// A plain upstream that may be sent the request, and its estimated load.
struct plain_candidate {
    const instance* upstream = nullptr;
    double requests = 0;
    double slots = 1;
    double service_seconds = 0; ///< Current time for a request that does not queue.
    /// Requests from which it is full, as far as is known.
    double full_at = std::numeric_limits<double>::infinity();
    double preference = 0; ///< Seconds added to the expected time when two upstreams are compared.

    [[nodiscard]] double rounds() const { return std::max(1.0, (this->requests + 1) / this->slots); }
    [[nodiscard]] double expected_seconds() const { return this->service_seconds * this->rounds(); }
    [[nodiscard]] bool has_free_slot() const { return this->requests < this->slots; }
    [[nodiscard]] bool is_full() const { return this->requests >= this->full_at; }
    /// Time in which one request ends while all slots are busy.
    [[nodiscard]] double seconds_per_end() const { return this->service_seconds / this->slots; }
    [[nodiscard]] double seconds_until(double requests_then) const {
        return std::max(0.0, this->requests - requests_then) * this->seconds_per_end();
    }
};

/// A listed instance of the service; none if it has changed since the service's instances were listed.
[[nodiscard]] const instance* find_listed_member(const instance_table& table, const base::upstream_id& id,
                                                 const std::string& service);

/// Those of `members` that the request may be sent to, with what is known or assumed of their loads.
[[nodiscard]] std::vector<plain_candidate>
find_plain_candidates(const instance_table& table, const choice_context& context,
                      const std::vector<base::upstream_id>& members, int competing_hosts);

/// Power of two choices: hosts with the same view of the load do not all choose the same upstream. `from`
/// must not be empty.
[[nodiscard]] const plain_candidate& choose_of_two(const std::vector<const plain_candidate*>& from,
                                                   std::mt19937_64& random);

} // namespace postpaddle::decision
