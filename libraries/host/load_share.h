// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>
#include <decision/instance_table.h>
#include <decision/waiting_order.h>

#include <cstdint>
#include <map>
#include <vector>

namespace postpaddle::host {

/// Short name of an instance in load reports: a hash of its id.
using instance_key = std::uint32_t;

[[nodiscard]] instance_key key_of(const base::upstream_id& id);

/// What one host has in progress; always whole, so that a lost report is healed by the next.
struct load_report {
    base::host_id host;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Rises with each report of an incarnation.
    std::map<instance_key, decision::instance_use> uses;
    std::vector<decision::waiter> waiters;    ///< Requests without a place.
    std::vector<instance_key> avoided;        ///< Instances that it could not reach lately.
    std::vector<instance_key> out_of_service; ///< Instances that take no work now: port dead, stage changing.

    bool operator==(const load_report&) const = default;
};

/// A report and when it was heard.
struct heard_report {
    load_report report;
    base::time_point heard{};
};

/// The other hosts' reports and their sum.
struct load_share {
    std::map<base::host_id, heard_report> by_host;
    std::map<instance_key, decision::instance_use> total;
    std::map<instance_key, int> avoided_by;        ///< Hosts that avoid an instance.
    std::map<instance_key, int> out_of_service_by; ///< Hosts that know an instance to be out of service.
};

/// Takes over a report unless a newer one of that host is known; says whether it did.
bool take_report(load_share& share, const load_report& report, base::time_point now);

/// Drops reports of hosts that have been silent for too long; says whether any was dropped.
bool drop_silent(load_share& share, base::time_point now);

/// Requests of other hosts that go before one that has waited for `own`.
[[nodiscard]] std::vector<decision::waiter> waiters_ahead(const load_share& share, base::duration own,
                                                          base::duration in_time, base::time_point now);

} // namespace postpaddle::host
