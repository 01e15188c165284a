// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>

#include <map>

namespace postpaddle::host {

/// Clock by which limits shared by all hosts refill on this host.
///
/// A second of a host's time advances the clock by that host's share (one part in the number of hosts),
/// once its usage during that second is known: immediately for this host, on receipt of its report for
/// others. While all hosts report, the clock runs at real time with a slight delay. On an isolated host
/// it advances by that host's share only, so that hosts which can't reach each other together never refill
/// more than the limit.
struct limit_clock {
    struct other {
        base::time_point last_report{};
        bool is_silent = false;
    };

    double seconds = 0;
    base::time_point own_until{};
    std::map<base::host_id, other> others{};
    int reporting_hosts = 1; ///< Includes this host.
};

/// Interval at which a process reports to the other hosts although nothing has changed.
///
/// A process that has just started reports more often: the limits refill only once each host has reported
/// twice, and until then callers within their limits are refused.
[[nodiscard]] base::duration keepalive_interval(base::duration process_age);

/// Advances the clock by this host's own share; `hosts` is the number of hosts.
void advance(limit_clock& clock, int hosts, base::time_point now);

/// Advances the clock for a report of another host. A host's first report adds no time.
void record_report(limit_clock& clock, const base::host_id& name, int hosts, base::time_point now);

/// Detects hosts whose reports have stopped. Returns the fraction of the previously reporting hosts
/// that still report.
[[nodiscard]] double detect_silent_hosts(limit_clock& clock, base::time_point now);

} // namespace postpaddle::host
