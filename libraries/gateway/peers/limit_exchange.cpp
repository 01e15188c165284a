// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/peers/limit_exchange.h>

#include <gateway/caller_identity.h>

#include <algorithm>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;

/// Minimum interval between reports of use. Requests that all hosts admit within it can exceed a limit: at
/// eight times the limit's rate, by 0.8 s worth of it, a tenth of what a window of eight seconds allows.
constexpr base::duration report_interval = 100ms;
/// Use is reported for this long after its last change, so that the periodic report repeats it at least once.
constexpr base::duration repeat_time = 1'200ms;

} // namespace

bool limit_exchange::has_changed_since(base::time_point time) const {
    return std::ranges::any_of(this->state->limits,
                               [time](const auto& item) { return item.second.changed_at > time; });
}

bool limit_exchange::is_report_due() const {
    return this->state->clock->now() - this->reported_at >= report_interval &&
           this->has_changed_since(this->reported_at);
}

bool limit_exchange::has_limits() const {
    if (!this->state->settings)
        return false;
    return std::ranges::any_of(this->state->settings->document.value->organisations,
                               [](const auto& item) { return host::is_limited(item.second.limit); });
}

void limit_exchange::add_use(host::load_report& report) {
    const base::time_point now = this->state->clock->now();
    report.hosts = limit_participants_of(*this->state).hosts;
    if (now - this->reported_at < report_interval)
        return;
    this->reported_at = now;
    for (auto& [id, account] : this->state->limits)
        if (now - account.changed_at < repeat_time)
            report.organisations[host::key_of(id)] = host::own_usage(account, now);
}

void limit_exchange::handle_report(const host::load_report& report) {
    const base::time_point now = this->state->clock->now();
    host::record_report(this->state->limit_clock, report.host, limit_participants_of(*this->state).hosts,
                        now);
    this->state->hosts_reported = std::max(this->state->hosts_reported, report.hosts);
    if (!this->state->settings || report.organisations.empty())
        return;
    const host::limit_participants sharers = limit_participants_of(*this->state);
    const host::usage_reporter reporter = {report.host, report.incarnation};
    for (const auto& [key, use] : report.organisations) {
        const auto found = this->state->settings->organisation_by_key.find(key);
        if (found == this->state->settings->organisation_by_key.end())
            continue;
        const settings::organisation_entry& organisation = *found->second;
        host::apply_usage_report(this->state->limits[organisation.id], organisation.limit, sharers, reporter,
                                 use, now);
    }
}

void limit_exchange::evict_old_usage() {
    for (auto& [id, account] : this->state->limits)
        host::evict_old_usage(account, this->state->clock->now());
}

void limit_exchange::detect_silent_hosts() {
    const double part = host::detect_silent_hosts(this->state->limit_clock, this->state->clock->now());
    if (part >= 1)
        return;
    for (auto& [id, account] : this->state->limits)
        host::scale_level(account, part);
}

} // namespace postpaddle::gateway
