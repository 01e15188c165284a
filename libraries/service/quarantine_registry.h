// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <host/quarantine.h>

#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace postpaddle::service {

/// Thread-safe quarantine of requests that crash upstreams. The workers record exits and successes; the
/// control thread exchanges reports with the other hosts.
class quarantine_registry {
public:
    /// How much longer a request is quarantined; empty if it may be sent.
    [[nodiscard]] std::optional<base::duration> remaining_quarantine(const host::request_fingerprint& request,
                                                                     base::time_point now) const;
    /// Records that an upstream exited while it ran a request and before it sent any of the response.
    void record_upstream_exit(const host::request_fingerprint& request, host::instance_key upstream,
                              base::time_point now);
    /// Records that a request completed successfully, which clears suspicion of it.
    void record_completion(const host::request_fingerprint& request, base::time_point now);
    /// Applies reports received from another host.
    void apply_reports(const std::vector<host::suspect_report>& reports, base::time_point now);
    /// Reports to send to the other hosts, those with the most exits first. Evicts expired entries.
    [[nodiscard]] std::vector<host::suspect_report> reports_to_send(base::time_point now);
    /// Whether there are updates to send since the previous call; resets the flag.
    [[nodiscard]] bool take_update_flag();

private:
    void apply(const host::suspect_report& report, base::time_point now);
    void clear(const host::request_fingerprint& request, base::time_point now);

    mutable std::mutex mutex;
    host::quarantine_options options;
    host::quarantine table;
    /// Suspected requests that succeeded on this host, and until when that success is reported.
    std::map<host::request_fingerprint, base::time_point> cleared;
    bool has_updates = false;
};

} // namespace postpaddle::service
