// SPDX-License-Identifier: BSD-2-Clause
#include <service/quarantine_registry.h>

#include <utility>

namespace postpaddle::service {

namespace {

/// Maximum number of suspects, and of cleared requests, in one message; about 100 bytes each.
constexpr std::size_t max_reports = 32;
/// How long the success of a suspected request is reported: several gossip rounds, so that it reaches all
/// hosts.
constexpr base::duration clearance_lifetime = std::chrono::seconds(10);

} // namespace

std::optional<base::duration>
quarantine_registry::remaining_quarantine(const host::request_fingerprint& request,
                                          base::time_point now) const {
    const std::lock_guard lock(this->mutex);
    return host::remaining_hold(this->table, this->options, request, now);
}

void quarantine_registry::apply(const host::suspect_report& report, base::time_point now) {
    if (host::apply_report(this->table, this->options, report, now))
        this->has_updates = true;
}

void quarantine_registry::clear(const host::request_fingerprint& request, base::time_point now) {
    if (this->cleared.size() < max_reports || this->cleared.contains(request))
        this->cleared[request] = now + clearance_lifetime;
    this->has_updates = true;
}

void quarantine_registry::record_upstream_exit(const host::request_fingerprint& request,
                                               host::instance_key upstream, base::time_point now) {
    const std::lock_guard lock(this->mutex);
    this->apply({.request = request, .exits = {{upstream, now}}}, now);
}

void quarantine_registry::record_completion(const host::request_fingerprint& request, base::time_point now) {
    const std::lock_guard lock(this->mutex);
    if (this->table.suspects.contains(request))
        this->clear(request, now);
    host::record_success(this->table, this->options, request, now);
}

void quarantine_registry::apply_reports(const std::vector<host::suspect_report>& reports,
                                        base::time_point now) {
    const std::lock_guard lock(this->mutex);
    for (const host::suspect_report& report : reports) {
        this->apply(report, now);
        if (host::knows_later_success(this->table, report))
            this->clear(report.request, now);
    }
}

std::vector<host::suspect_report> quarantine_registry::reports_to_send(base::time_point now) {
    const std::lock_guard lock(this->mutex);
    host::evict_expired(this->table, this->options, now);
    std::erase_if(this->cleared, [now](const auto& item) { return now >= item.second; });
    auto reports = host::reports_to_resend(this->table, max_reports);
    for (const auto& [request, until] : this->cleared)
        reports.push_back(host::report_of(this->table, request));
    return reports;
}

bool quarantine_registry::take_update_flag() {
    const std::lock_guard lock(this->mutex);
    return std::exchange(this->has_updates, false);
}

} // namespace postpaddle::service
