// SPDX-License-Identifier: BSD-2-Clause
#include <host/limit_clock.h>

#include <algorithm>
#include <utility>

namespace postpaddle::host {

namespace {

constexpr base::duration regular_interval = std::chrono::milliseconds(1'000);
constexpr base::duration initial_interval = std::chrono::milliseconds(200);
/// Hosts report at least once a second. Allows for little delay: a host that is considered silent by
/// mistake, as only one of its reports was lost, merely costs its share of the saved-up burst: with 78 hosts,
/// a little over 1 %.
constexpr base::duration report_lifetime = std::chrono::milliseconds(1'300);
/// A host that was silent for longer adds no time for the gap.
constexpr base::duration max_gap = std::chrono::seconds(30);

double share_of(base::duration time, int hosts) {
    return std::max(0.0, base::to_seconds(time)) / std::max(1, hosts);
}

} // namespace

base::duration keepalive_interval(base::duration process_age) {
    return process_age < regular_interval ? initial_interval : regular_interval;
}

void advance(limit_clock& clock, int hosts, base::time_point now) {
    if (clock.own_until == base::time_point{})
        clock.own_until = now;
    clock.seconds += share_of(now - clock.own_until, hosts);
    clock.own_until = std::max(clock.own_until, now);
}

void record_report(limit_clock& clock, const base::host_id& name, int hosts, base::time_point now) {
    const auto [found, is_new] = clock.others.try_emplace(name);
    limit_clock::other& known = found->second;
    if (is_new || known.is_silent)
        ++clock.reporting_hosts;
    if (!is_new && now - known.last_report < max_gap)
        clock.seconds += share_of(now - known.last_report, hosts);
    known = {.last_report = now, .is_silent = false};
}

double detect_silent_hosts(limit_clock& clock, base::time_point now) {
    const int before = clock.reporting_hosts;
    std::erase_if(clock.others, [now](const auto& item) { return now - item.second.last_report >= max_gap; });
    for (auto& [name, known] : clock.others)
        if (now - known.last_report >= report_lifetime && !std::exchange(known.is_silent, true))
            --clock.reporting_hosts;
    return static_cast<double>(clock.reporting_hosts) / before;
}

} // namespace postpaddle::host
