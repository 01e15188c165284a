// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_state.h>

namespace postpaddle::gateway {

/// Exchanges use of the organisations' shared limits with other hosts, as part of load reports.
class limit_exchange {
public:
    explicit limit_exchange(gateway_state& state) : state(&state) {}

    /// Whether changed use should be reported now.
    [[nodiscard]] bool is_report_due() const;
    /// Whether any organisation has a limit. If so, hosts report every second, so that an idle host can be
    /// told from an unreachable one.
    [[nodiscard]] bool has_limits() const;
    /// Adds recently changed use to the report, at most once per interval.
    void add_use(host::load_report& report);
    /// Applies use reported by another host.
    void handle_report(const host::load_report& report);
    /// Drops reports from hosts that are gone.
    void evict_old_usage();
    /// Detects hosts that have stopped reporting and scales the accounts down accordingly.
    void detect_silent_hosts();

private:
    [[nodiscard]] bool has_changed_since(base::time_point time) const;

    gateway_state* state;
    base::time_point reported_at{};
};

} // namespace postpaddle::gateway
