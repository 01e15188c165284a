// SPDX-License-Identifier: BSD-2-Clause
#include <host/load_share.h>

#include <base/hashing.h>

namespace postpaddle::host {

namespace {

using namespace std::chrono_literals;

/// A host whose last report is older has gone, or can't be heard; its requests no longer count.
constexpr base::duration report_lifetime = 3s;

/// Incarnations are times of day, and a clock may have been set back between two of them: a host that has
/// been silent for the lifetime of its report is believed anew.
bool is_newer(const load_report& next, const heard_report& known, base::time_point now) {
    if (next.incarnation != known.report.incarnation)
        return next.incarnation > known.report.incarnation || now - known.heard >= report_lifetime;
    return next.sequence > known.report.sequence;
}

void count_down(std::map<instance_key, int>& counts, instance_key key) {
    if (--counts[key] <= 0)
        counts.erase(key);
}

void take_away(load_share& share, const load_report& report) {
    for (const auto& [key, use] : report.uses) {
        decision::instance_use& total = share.total[key];
        total -= use;
        if (total.requests <= 0)
            share.total.erase(key);
    }
    for (const instance_key key : report.avoided)
        count_down(share.avoided_by, key);
    for (const instance_key key : report.out_of_service)
        count_down(share.out_of_service_by, key);
}

} // namespace

instance_key key_of(const base::upstream_id& id) { return static_cast<instance_key>(base::hash64(id.value)); }

bool take_report(load_share& share, const load_report& report, base::time_point now) {
    const auto [found, is_first] = share.by_host.try_emplace(report.host);
    if (!is_first && !is_newer(report, found->second, now))
        return false;
    take_away(share, found->second.report);
    for (const auto& [key, use] : report.uses)
        share.total[key] += use;
    for (const instance_key key : report.avoided)
        ++share.avoided_by[key];
    for (const instance_key key : report.out_of_service)
        ++share.out_of_service_by[key];
    found->second = {report, now};
    return true;
}

bool drop_silent(load_share& share, base::time_point now) {
    bool is_any_dropped = false;
    for (auto& [host, heard] : share.by_host) {
        const bool is_empty =
            heard.report.uses.empty() && heard.report.waiters.empty() && heard.report.avoided.empty();
        if (is_empty || now - heard.heard < report_lifetime)
            continue;
        take_away(share, heard.report);
        heard.report.uses.clear();
        heard.report.waiters.clear();
        heard.report.avoided.clear();
        heard.report.out_of_service.clear();
        is_any_dropped = true;
    }
    return is_any_dropped;
}

std::vector<decision::waiter> waiters_ahead(const load_share& share, base::duration own,
                                            base::duration in_time, base::time_point now) {
    std::vector<decision::waiter> ahead;
    for (const auto& [host, heard] : share.by_host)
        for (const decision::waiter& other : heard.report.waiters) {
            const base::duration waited = other.waited + (now - heard.heard);
            if (decision::goes_before(waited, own, in_time))
                ahead.push_back({waited, other.memory_tokens});
        }
    return ahead;
}

} // namespace postpaddle::host
