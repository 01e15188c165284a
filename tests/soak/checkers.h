// SPDX-License-Identifier: BSD-2-Clause
// Checks what callers, servers and the operator saw against what the gateway promises. No checker looks into
// a host, and none knows of a time that no promise names.
#pragma once

#include <soak/observations.h>

#include <string>
#include <vector>

namespace postpaddle::soak {

/// Times that the promises name.
struct promised_bounds {
    /// Until a version of the settings is in force on all hosts.
    milliseconds settings{2'000};
    /// Until a leaving server gets no more requests.
    milliseconds leaving{2'000};
    /// After a host has shown a version's effect, until no request is handled by an older one.
    milliseconds rollback_slack{250};
    /// A request that meets the closing of its connection ends within this time of its last byte.
    milliseconds loss_slack{250};
    /// Until the servers of a caller who has left stop their work.
    milliseconds caller_gone{500};
    /// For this long without a disturbance, a host or the store is undisturbed.
    milliseconds contact{5'000};
    /// From SIGTERM until the platform kills the process.
    milliseconds grace{8'000};
    /// Until a host that is told to stop reckons with it. Requests that were sent before may be cut if they
    /// outlast most of the grace time.
    milliseconds notice_of_stop{250};
    /// Retries that servers may receive for each request, beside the slack, within the window.
    double retry_ratio = 0.2;
    milliseconds retry_window{10'000};
    std::size_t host_memory_bytes = 120UL * 1000 * 1000;
};

struct violation {
    std::string promise; ///< Name of the checker.
    std::string what;    ///< Names the attempt, host or server concerned.

    bool operator==(const violation&) const = default;
};

using violations = std::vector<violation>;

/// Each request ends in a whole answer, a refusal or a failure, unless its host was killed or frozen, its
/// server ended or broke off, links to servers failed, its stream had begun and its server sent without end,
/// its time was over or its caller left.
[[nodiscard]] violations check_answers_arrive(const observations& seen, const promised_bounds& bounds);
/// No request ends in a failure of the gateway's own before its time is over, unless its server ended or
/// broke off or sent without end, links to servers failed, or its host was frozen. A silence is no reason to
/// give a request up sooner.
[[nodiscard]] violations check_failures(const observations& seen);
/// An answer belongs to its request, its events are whole, in order and not repeated.
[[nodiscard]] violations check_answers_belong(const observations& seen);
/// What may run once runs at most once.
[[nodiscard]] violations check_single_runs(const observations& seen);
/// What may run once and was refused has not run.
[[nodiscard]] violations check_refusals(const observations& seen);
/// Settings are in force within their bound and never go back.
[[nodiscard]] violations check_settings(const observations& seen, const promised_bounds& bounds);
/// No request is denied that all settings that may be in force allow.
[[nodiscard]] violations check_denials(const observations& seen, const promised_bounds& bounds);
/// The work for callers who have left ends.
[[nodiscard]] violations check_callers_who_left(const observations& seen, const promised_bounds& bounds);
/// Hosts end only when told to, stay within their memory and serve again after the faults.
[[nodiscard]] violations check_processes(const observations& seen, const promised_bounds& bounds);
/// Leaving servers get no requests after the bound.
[[nodiscard]] violations check_departures(const observations& seen, const promised_bounds& bounds);

/// What a service's servers received beyond the first arrival of each request, in the window in which that
/// was most compared with what the retry budget of all hosts allows.
struct retry_usage {
    bool is_of_engines = false;
    std::ptrdiff_t extra = 0;
    std::ptrdiff_t requests = 0;
    double allowed = 0;
};
/// Of each service that got any.
[[nodiscard]] std::vector<retry_usage> measure_retries(const observations& seen,
                                                       const promised_bounds& bounds);

/// The servers of a service receive no more beyond the first arrival of each request, in any window, than the
/// retry budget of all hosts allows.
[[nodiscard]] violations check_retry_budget(const observations& seen, const promised_bounds& bounds);

/// All of the above and those of streams.
[[nodiscard]] violations check_all(const observations& seen, const promised_bounds& bounds);

} // namespace postpaddle::soak
