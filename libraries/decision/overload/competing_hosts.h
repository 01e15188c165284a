// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>

#include <map>

/// Hosts that compete for the same plain upstreams. Kept with each report, so that a decision does not scan
/// the reports of all hosts.
namespace postpaddle::decision {

/// Other hosts that recently reported loads of plain upstreams.
struct competing_hosts {
    std::map<base::host_id, base::time_point> until;     ///< When each host stops being counted.
    base::time_point next_end = base::time_point::max(); ///< No entry of `until` is earlier.
};

/// Records that a host's latest report has loads; it counts up to that time.
void record_competing_host(competing_hosts& known, const base::host_id& host, base::time_point until);

/// Records that a host's latest report has no loads.
void remove_competing_host(competing_hosts& known, const base::host_id& host);

/// Hosts that count now. Removes those that no longer do.
[[nodiscard]] int count_competing_hosts(competing_hosts& known, base::time_point now);

} // namespace postpaddle::decision
