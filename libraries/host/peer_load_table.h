// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>
#include <decision/instance_table.h>
#include <decision/overload/upstream_pace.h>
#include <decision/wait_queue.h>
#include <host/shared_limit.h>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace postpaddle::host {

/// Compact id of an instance in load reports: a hash of its id and start time, so that reports about an
/// earlier start don't affect a later one.
using instance_key = std::uint32_t;

[[nodiscard]] instance_key key_of(const base::upstream_id& id, std::uint64_t start_time_ms = 0);

/// Compact id of an organisation in load reports: a hash of its name.
using organisation_key = std::uint32_t;

[[nodiscard]] organisation_key key_of(const base::organisation_id& id);

/// State that an upstream advertised in its responses.
struct advertised_state {
    instance_key key = 0;
    std::optional<double> per_second; ///< Advertised rate limit; empty if there is none or it was withdrawn.
    base::duration age{};             ///< Time since the rate limit was advertised.
    bool is_leaving = false;

    bool operator==(const advertised_state&) const = default;
};

/// Load that a plain upstream reported in a response to the sender.
struct observed_load {
    instance_key key = 0;
    decision::instance_load load;
    base::duration age{}; ///< Time since the response.

    bool operator==(const observed_load&) const = default;
};

/// Processing times of an engine that the sender measured.
struct observed_pace {
    instance_key key = 0;
    decision::engine_pace pace;
    base::duration age{}; ///< Time since the last measurement.

    bool operator==(const observed_pace&) const = default;
};

/// Compact id of an organisation's share of a service in load reports: a hash of both names. Requests without
/// an organisation share the key of an empty name.
using share_key = std::uint32_t;

[[nodiscard]] share_key key_of(const std::string& service, const base::organisation_id& organisation);

/// Work in progress on one host. Always complete, so that the next report makes up for a lost one.
struct load_report {
    base::host_id host;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Increases with each report of an incarnation.
    std::map<instance_key, decision::instance_use> uses;
    std::vector<decision::waiter> waiters; ///< Requests waiting for a slot.
    std::vector<instance_key> avoided;     ///< Instances that the host recently failed to reach.
    /// Instances that currently accept no work: port closed or stage changing.
    std::vector<instance_key> out_of_service;
    /// Recently changed usage of organisations' limits.
    std::map<organisation_key, reported_usage> organisations;
    int hosts = 1; ///< Number of hosts that the sender considers alive, including itself.
    std::vector<advertised_state> advertisements{}; ///< States recently advertised by upstreams.
    /// Engine memory in tokens that the sender's requests in progress occupy or have reserved.
    std::map<share_key, double> share_tokens{};
    std::vector<observed_load> loads{}; ///< Latest loads of plain upstreams, for a short time.
    std::vector<observed_pace> paces{}; ///< Recently measured processing times.

    bool operator==(const load_report&) const = default;
};

struct received_report {
    load_report report;
    base::time_point received_at{};
};

/// Load reports of the other hosts, and their totals per instance.
struct peer_load_table {
    std::map<base::host_id, received_report> by_host;
    std::map<instance_key, decision::instance_use> total;
    std::map<instance_key, int> avoided_by; ///< Number of hosts that avoid an instance.
    /// Number of hosts that report an instance as out of service.
    std::map<instance_key, int> out_of_service_by;
    /// Engine memory in tokens that all other hosts' requests in progress occupy or have reserved.
    std::unordered_map<share_key, double> share_total;
    std::unordered_map<instance_key, base::upstream_id> id_of; ///< Instances in the instance table, by key.
};

/// Finds an instance by key; null if there is none.
[[nodiscard]] decision::instance* find_by_key(decision::instance_table& table, peer_load_table& peer_loads,
                                              instance_key key);

/// Effect of a report on the totals.
struct report_change {
    std::vector<instance_key> keys; ///< Instances whose totals may have changed, without duplicates.
    /// Requests ended or an instance is no longer avoided, so a slot may be free.
    bool has_freed_capacity = false;

    bool operator==(const report_change&) const = default;
};

/// Whether `apply_report` would apply the report: no newer one of that host is known.
[[nodiscard]] bool is_newer(const peer_load_table& peer_loads, const load_report& report,
                            base::time_point now);

/// Applies a report and returns what it changed; empty if a newer report of that host is known.
std::optional<report_change> apply_report(peer_load_table& peer_loads, const load_report& report,
                                          base::time_point now);

/// Removes the load of hosts that have been silent for too long. Returns whether there were any.
bool expire_silent_hosts(peer_load_table& peer_loads, base::time_point now);

/// Copies the totals of the given instances into the instance table. Takes only changed instances, since a
/// report usually affects few of them: with 400 engines, copying all totals would take a hundred times
/// as long.
void apply_sums(decision::instance_table& table, peer_load_table& peer_loads,
                std::span<const instance_key> keys);

/// Copies the totals of an instance that was added or whose listing changed.
void apply_instance_sums(decision::instance_table& table, peer_load_table& peer_loads,
                         const base::upstream_id& id);

/// Copies the totals of all instances, after instances were added or removed or reports expired.
void apply_all_sums(decision::instance_table& table, peer_load_table& peer_loads);

/// Total load of an engine as reported by a host of its cell.
struct reported_load {
    instance_key key = 0;
    decision::instance_use use;
    bool is_avoided = false; ///< Whether the engine should not receive new work.

    bool operator==(const reported_load&) const = default;
};

/// Loads of this cell's engines, to report to hosts of other cells.
[[nodiscard]] std::vector<reported_load> loads_to_report(const decision::instance_table& table,
                                                         base::time_point now);

/// Applies the loads that a host of another cell reported for its engines.
void apply_reported_loads(decision::instance_table& table, peer_load_table& peer_loads,
                          std::span<const reported_load> loads, base::time_point now);

/// Waiting requests of all other hosts.
[[nodiscard]] std::vector<decision::waiter> all_waiters(const peer_load_table& peer_loads,
                                                        base::time_point now);

} // namespace postpaddle::host
