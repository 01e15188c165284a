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

/// Quarantine for requests, and parts of prompts, that crash upstreams.
///
/// A request may crash every server that starts to run it and be retried at any host, each time ending an
/// upstream and all streams on it: ten streams on average in sixty such exits that were examined. Hosts share
/// the exits they observe; once enough different upstreams have exited under a request, no host sends it any
/// further.
///
/// A part of prompts may be to blame although no two requests with it are alike. Each exit accuses all parts
/// of the request; a later run with a part that survives its start clears it. A part stays accused over
/// several requests, upstreams and moments, while runs without it survive, only if it is to blame. This is
/// fault localisation by spectra, as in Jones and Harrold, "Empirical Evaluation of the Tarantula Automatic
/// Fault-Localization Technique" (2005).
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
    /// Requests, and moments, in which upstreams must have exited under a part of their prompts for it to be
    /// quarantined; one request less suffices if there was a moment more.
    std::size_t part_requests_to_hold = 3;
    std::size_t part_moments_to_hold = 3;
    /// Exits this close to each other may have a common cause, such as a loss of power.
    base::duration same_moment = std::chrono::milliseconds(200);
    /// How long after these exits are known a part is quarantined: a run that began after them may have
    /// survived, and its word be on the way.
    base::duration part_grace = std::chrono::seconds(1);
    /// An exit is known on all hosts at most this long after the connection broke. Until then, a surviving
    /// run with the part may have gone unreported, as the part was not suspected.
    base::duration exit_report_time = std::chrono::seconds(2);
    /// How long a part stays quarantined after the last exit. Shorter than for requests: more callers use it.
    base::duration part_hold = std::chrono::minutes(10);
    /// Maximum number of suspected or quarantined requests, at about 200 bytes each.
    std::size_t max_suspects = 1'024;
    /// Maximum number of remembered successes, at about 100 bytes each: those of a minute at four times the
    /// rate that a host is designed for.
    std::size_t max_successes = 4'096;
};

/// Exit of one incarnation of an upstream while it ran, or was about to run, a request.
struct upstream_exit {
    instance_key upstream = 0;
    base::time_point at{};     ///< When the connection broke.
    std::uint64_t request = 0; ///< Hash of the request, for a part of its prompt.

    auto operator<=>(const upstream_exit&) const = default;
};

/// What one host reports to another about a request or a part of prompts.
struct suspect_report {
    request_fingerprint request;
    std::vector<upstream_exit> exits;
    /// When the request last succeeded, or when the last run with the part began that survived its start.
    std::optional<base::time_point> last_success{};
    bool is_stored = false; ///< Whether the store holds its quarantine record.

    bool operator==(const suspect_report&) const = default;
};

/// Known exits and successes of requests. Hosts that received the same reports quarantine the same
/// requests, regardless of the order of the reports.
struct quarantine {
    struct suspect {
        std::map<instance_key, upstream_exit> exits;
        /// Since when this host knows enough exits under a part to blame it.
        std::optional<base::time_point> blame_known_at{};
        bool is_stored = false; ///< Whether the store holds its quarantine record.
    };
    struct success {
        request_fingerprint request;
        base::time_point at{};
    };

    std::map<request_fingerprint, suspect> suspects;
    /// When the last run of each service began on this host that survived its start.
    std::map<service_key, base::time_point> last_survival;
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

/// Records that a run which began then has survived its start. Returns which parts of its prompt are
/// suspected of exits before it, so that the other hosts must be told.
[[nodiscard]] std::vector<request_fingerprint> record_survival(quarantine& table, service_key service,
                                                               const std::vector<request_fingerprint>& parts,
                                                               base::time_point began);

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
