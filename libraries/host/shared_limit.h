// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>
#include <settings/routing_settings.h>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

namespace postpaddle::host {

/// Usage of an organisation's limit by one process, as reported to other hosts. Totals since the start of
/// the process rather than differences, so that the next report makes up for a lost one.
struct reported_usage {
    /// Total one to two seconds ago; the baseline for a host that has no earlier report.
    std::int64_t before = 0;
    std::int64_t now = 0;

    bool operator==(const reported_usage&) const = default;
};

/// Largest priority level of a request against its organisation's limit; less urgent ones have it too.
inline constexpr int max_limit_level = 3;

/// Process that reported a usage.
struct usage_reporter {
    base::host_id host;
    std::uint64_t incarnation = 0; ///< Of the process.

    bool operator==(const usage_reporter&) const = default;
};

/// One organisation's limit, as tracked by this host.
///
/// Every host keeps a replica of the same token bucket. It refills at the full rate of the limit, and usage
/// of any host is deducted as soon as it is reported. An organisation with only a few requests per second
/// can thus use its whole limit on any number of hosts, while equal shares would be less than one request
/// each. The bucket refills by the limit clock (limit_clock.h), which counts a host's time only once its
/// usage is known, so that unreported usage never leads to exceeding the limit.
struct limit_account {
    double level = 0;        ///< Tokens left; negative if other hosts' usage was reported late.
    double filled_until = 0; ///< By the limit clock.
    /// Own usage that the limit clock has not yet made up for; see `try_consume`.
    double unconfirmed = 0;
    int unconfirmed_requests = 0;
    /// Usage by this process and by other hosts in the current and in the previous interval.
    double own_recent = 0;
    double own_recent_before = 0;
    double others_recent = 0;
    double others_recent_before = 0;
    base::time_point recent_since{};
    std::int64_t used = 0; ///< By this process.
    std::int64_t used_at_mark = 0;
    std::int64_t used_at_mark_before = 0;
    base::time_point marked_at{};
    base::time_point changed_at{}; ///< When `used` last changed.
    /// Refused callers of each level have been assigned retry times up to here.
    std::array<base::time_point, max_limit_level + 1> retry_assigned_until{};

    /// Last report of another host's process.
    struct other {
        std::uint64_t incarnation = 0;
        std::int64_t used = 0;
        base::time_point last_report{};
    };
    std::map<base::host_id, other> others;
};

/// All limits on this host. Buckets start empty, like the limit clock, since usage before a restart is
/// unknown.
using limit_accounts = std::unordered_map<base::organisation_id, limit_account>;

/// Hosts that share the limits, and the current limit clock time.
struct limit_participants {
    int hosts = 1;           ///< Number of hosts that may be alive or more, including this one.
    int reporting_hosts = 1; ///< Those of them whose reports arrive, including this one.
    double seconds = 0;      ///< By the limit clock.

    bool operator==(const limit_participants&) const = default;
};

/// Whether a limit is configured.
[[nodiscard]] bool is_limited(const settings::usage_limit& limit);

/// What a request leaves of its organisation's limit for more urgent ones. Level 0 is the most urgent.
[[nodiscard]] double reserve_of(const settings::usage_limit& limit, int level);

/// Whether a less urgent request does without the reserve. `draw` is uniformly distributed from 0 to 1.
/// Without such requests, less urgent ones would be shut out while more urgent ones use the whole limit.
[[nodiscard]] bool is_exempt_from_reserve(double draw);

/// Consumes `amount` from the limit if that leaves the reserve of the level, which is at most half of the
/// burst, and if this host's unconfirmed usage is below twice its part of the burst, in proportion to
/// its recent usage. Usage is confirmed as the limit clock advances, which on an isolated host is slow.
/// Such a host thus stops at its own part although it has not yet detected that the others are silent.
/// Otherwise returns the time after which to retry, taking into account the callers of that level and of more
/// urgent ones that were refused before.
[[nodiscard]] std::optional<base::duration>
try_consume(limit_account& account, const settings::usage_limit& limit,
            const limit_participants& participants, std::int64_t amount, base::time_point now, int level = 0);

/// Returns what was consumed for a request that did not run.
void refund(limit_account& account, const settings::usage_limit& limit, std::int64_t amount,
            base::time_point now);

/// This host's usage, for reporting to other hosts.
[[nodiscard]] reported_usage own_usage(limit_account& account, base::time_point now);

/// Deducts usage reported by another host.
void apply_usage_report(limit_account& account, const settings::usage_limit& limit,
                        const limit_participants& participants, const usage_reporter& reporter,
                        const reported_usage& reported, base::time_point now);

/// Evicts reports of hosts that have been silent for long.
void evict_old_usage(limit_account& account, base::time_point now);

/// Scales the saved-up tokens by `factor`, the fraction of hosts still reporting, since the unreachable hosts
/// may spend the rest.
void scale_level(limit_account& account, double factor);

} // namespace postpaddle::host
