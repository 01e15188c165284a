// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <host/peer_load_table.h>
#include <host/request_fingerprint.h>

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

/// Quarantine for requests that crash upstreams.
///
/// A request may crash every server that starts to run it and be retried at any host, each time ending an
/// upstream and all streams on it: ten streams on average in sixty such exits that were examined. Hosts share
/// the exits they observe; once enough different upstreams have exited under a request, no host sends it any
/// further.
namespace postpaddle::host {

struct quarantine_options {
    /// Exits of different upstreams, without a success of the request, after which it is quarantined. In
    /// the sixty exits, no request other than those to blame was in flight without any output in two of them.
    std::size_t exits_to_hold = 3;
    /// How long a request stays quarantined after the last exit. It is then tried again, since the
    /// upstreams may have been fixed. Chosen.
    base::duration hold = std::chrono::hours(1);
    /// How long exits are remembered for a request that is not quarantined. Chosen: many times the period for
    /// which a caller retries.
    base::duration suspicion = std::chrono::minutes(10);
    /// How long after a success exits are not attributed to the request. Chosen: a lookup that many callers
    /// send alike comes more often than that.
    base::duration success_lifetime = std::chrono::minutes(1);
    /// Maximum number of suspected or quarantined requests, at about 200 bytes each.
    std::size_t max_suspects = 1'024;
    /// Maximum number of remembered successes, at about 100 bytes each: those of a minute at four times the
    /// rate that a host is designed for.
    std::size_t max_successes = 4'096;
};

/// Exit of one incarnation of an upstream while it ran, or was about to run, a request.
struct upstream_exit {
    instance_key upstream = 0;
    base::time_point at{};

    auto operator<=>(const upstream_exit&) const = default;
};

/// What one host reports to another about a request.
struct suspect_report {
    request_fingerprint request;
    std::vector<upstream_exit> exits;
    std::optional<base::time_point> last_success{}; ///< When the request last succeeded.
    bool is_stored = false;                         ///< Whether the store holds its quarantine record.

    bool operator==(const suspect_report&) const = default;
};

/// Known exits and successes of requests. Hosts that received the same reports quarantine the same
/// requests, regardless of the order of the reports.
struct quarantine {
    struct suspect {
        std::map<instance_key, base::time_point> exits;
        bool is_stored = false; ///< Whether the store holds its quarantine record.
    };
    struct success {
        request_fingerprint request;
        base::time_point at{};
    };

    std::map<request_fingerprint, suspect> suspects;
    std::map<request_fingerprint, base::time_point> last_success; ///< When each request last succeeded.
    std::deque<success> success_order;                            ///< Oldest first.
};

/// Applies a local observation or another host's report, and returns the part that was new. A success
/// removes all exits up to `success_lifetime` after it, whichever is received first.
[[nodiscard]] std::optional<suspect_report> apply_report(quarantine& table, const quarantine_options& options,
                                                         const suspect_report& report, base::time_point now);

/// Records that a request which is not suspected succeeded on this host.
void record_success(quarantine& table, const quarantine_options& options, const request_fingerprint& request,
                    base::time_point now);

/// How much longer a request is quarantined; empty if it may be sent.
[[nodiscard]] std::optional<base::duration> remaining_hold(const quarantine& table,
                                                           const quarantine_options& options,
                                                           const request_fingerprint& request,
                                                           base::time_point now);

/// Whether a report suspects a request for which a later success is known here, so that its sender must be
/// notified.
[[nodiscard]] bool knows_later_success(const quarantine& table, const suspect_report& reported);

/// Everything known about one request, for sending to other hosts.
[[nodiscard]] suspect_report report_of(const quarantine& table, const request_fingerprint& request);

/// Reports on up to `max_reports` suspects, those with the most exits first, then the most recent ones.
[[nodiscard]] std::vector<suspect_report> reports_to_resend(const quarantine& table, std::size_t max_reports);

/// Records that the store holds the request's quarantine record.
void record_stored(quarantine& table, const request_fingerprint& request);

void evict_expired(quarantine& table, const quarantine_options& options, base::time_point now);

} // namespace postpaddle::host
