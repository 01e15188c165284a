// SPDX-License-Identifier: BSD-2-Clause
#include <host/shared_limit.h>

#include <algorithm>
#include <utility>

namespace postpaddle::host {

namespace {

/// Interval between two marks of the own usage; `reported_usage::before` dates back one to two of these.
constexpr base::duration mark_interval = std::chrono::seconds(1);
/// Reports are evicted after this time. A later report of the host is then counted from its `before` total.
constexpr base::duration report_lifetime = std::chrono::seconds(30);
/// Usage of the whole limit, in seconds, that a request leaves for each level of more urgent ones. Twice the
/// interval between two reports of usage, so that the levels stay apart while other hosts' usage is unknown.
constexpr double reserve_seconds = 0.2;
/// Maximum fraction of the burst that is reserved for more urgent requests.
constexpr double max_reserved_fraction = 0.5;
/// Fraction of the less urgent requests that compete without a reserve. While the most urgent ones are at
/// most a third of an organisation's demand, it keeps the others above a quarter of the share of all that is
/// served.
constexpr double exempt_fraction = 0.1;
/// Unconfirmed usage at which a host admits no more, in parts of the burst. All hosts together can exceed a
/// limit by about this many bursts when each of them is suddenly isolated. With fewer, callers at a few hosts
/// are refused below their limit while the other hosts report only once a second.
constexpr double max_unconfirmed_parts = 2;
/// Unconfirmed requests that a host admits although they exceed this, as a share may be less than one
/// request.
constexpr int min_unconfirmed_requests = 5;
/// Usage counts as recent for one to two of these intervals. Longer than an isolated host takes to detect
/// that the others are silent.
constexpr base::duration recent_interval = std::chrono::milliseconds(1'500);
/// Maximum retry time given to a refused caller.
constexpr double max_retry_seconds = 60;

/// Burst size: the reporting hosts' share of the burst, but at least one request, so that small shares
/// eventually admit one.
double capacity(const settings::usage_limit& limit, const limit_participants& participants, double minimum) {
    const int hosts = std::max(1, participants.hosts);
    return std::max(limit.burst * std::clamp(participants.reporting_hosts, 1, hosts) / hosts, minimum);
}

/// Usage per second of the limit clock that gets confirmed. At least the whole burst, so that a single busy
/// host can spend it within a second of hearing from all others.
double confirmed_per_second(const settings::usage_limit& limit) {
    return std::max(limit.per_second, limit.burst);
}

void confirm_usage(limit_account& account, double amount) {
    account.unconfirmed = std::max(0.0, account.unconfirmed - amount);
    if (account.unconfirmed == 0)
        account.unconfirmed_requests = 0;
}

void start_recent_interval(limit_account& account, base::time_point now) {
    const base::duration age = now - account.recent_since;
    if (age < recent_interval)
        return;
    const double kept = age < 2 * recent_interval ? 1 : 0;
    account.own_recent_before = kept * std::exchange(account.own_recent, 0);
    account.others_recent_before = kept * std::exchange(account.others_recent, 0);
    account.recent_since = now;
}

/// This host's part of the recent usage, at least an equal one. Leaves out its unconfirmed usage, or else an
/// isolated host's part would grow as it spends.
double own_part(const limit_account& account, const limit_participants& participants) {
    const double others = account.others_recent + account.others_recent_before;
    if (others <= 0)
        return 1;
    const double own = std::max(0.0, account.own_recent + account.own_recent_before - account.unconfirmed);
    return std::max(own / (own + others), 1.0 / std::max(1, participants.hosts));
}

/// Unconfirmed usage in excess of what a host may have; 0 or less if it may admit a request.
double unconfirmed_excess(const limit_account& account, const settings::usage_limit& limit,
                          const limit_participants& participants) {
    if (account.unconfirmed_requests < min_unconfirmed_requests)
        return 0;
    return account.unconfirmed - max_unconfirmed_parts * limit.burst * own_part(account, participants);
}

void fill(limit_account& account, const settings::usage_limit& limit, const limit_participants& participants,
          double minimum) {
    const double seconds = std::max(0.0, participants.seconds - account.filled_until);
    account.filled_until = participants.seconds;
    account.level =
        std::min(capacity(limit, participants, minimum), account.level + limit.per_second * seconds);
    confirm_usage(account, confirmed_per_second(limit) * seconds);
}

void mark(limit_account& account, base::time_point now) {
    if (now - account.marked_at < mark_interval)
        return;
    account.used_at_mark_before = account.used_at_mark;
    account.used_at_mark = account.used;
    account.marked_at = now;
}

void record_usage(limit_account& account, std::int64_t amount, base::time_point now) {
    mark(account, now);
    account.used += amount;
    account.changed_at = now;
}

base::duration time_for(double amount, double per_second) {
    return base::from_seconds(std::min(max_retry_seconds, amount / std::max(per_second, 1e-9)));
}

/// A request that exceeds the limit.
struct refused_demand {
    double amount = 0;
    double missing = 0; ///< What the bucket has to refill until it is admitted.
    std::size_t level = 0;
};

/// Assigns a retry time to a refused caller. Callers are spaced at the rate at which this host's share
/// refills; otherwise they would all return at once and be refused again.
base::duration assign_retry_time(limit_account& account, const settings::usage_limit& limit,
                                 const limit_participants& participants, const refused_demand& demand,
                                 base::time_point now) {
    const double own_rate = limit.per_second / std::max(1, participants.hosts);
    const double combined_rate = own_rate * std::max(1, participants.reporting_hosts);
    const base::time_point earliest = now + time_for(std::max(0.0, demand.missing), combined_rate);
    // Less urgent callers return after the more urgent ones, which do not wait for them.
    const auto end = account.retry_assigned_until.begin() + static_cast<std::ptrdiff_t>(demand.level) + 1;
    const base::time_point reported =
        std::max(earliest, *std::max_element(account.retry_assigned_until.begin(), end));
    account.retry_assigned_until.at(demand.level) =
        std::min(reported + time_for(demand.amount, own_rate), now + base::from_seconds(max_retry_seconds));
    return reported - now;
}

} // namespace

bool is_limited(const settings::usage_limit& limit) { return limit.per_second > 0; }

double reserve_of(const settings::usage_limit& limit, int level) {
    return std::min(std::clamp(level, 0, max_limit_level) * reserve_seconds * limit.per_second,
                    max_reserved_fraction * limit.burst);
}

bool is_exempt_from_reserve(double draw) { return draw < exempt_fraction; }

std::optional<base::duration> try_consume(limit_account& account, const settings::usage_limit& limit,
                                          const limit_participants& participants, std::int64_t amount,
                                          base::time_point now, int level) {
    const auto wanted = static_cast<double>(amount);
    fill(account, limit, participants, wanted);
    start_recent_interval(account, now);
    const double full = capacity(limit, participants, wanted);
    const double reserve = std::min(reserve_of(limit, level), max_reserved_fraction * full);
    // A request that is larger than what is not reserved needs a full bucket.
    const double required = std::min(wanted + reserve, full);
    const double excess = unconfirmed_excess(account, limit, participants);
    if (account.level < required || excess > 0)
        return assign_retry_time(
            account, limit, participants,
            {.amount = wanted,
             .missing =
                 std::max(required - account.level, excess * limit.per_second / confirmed_per_second(limit)),
             .level = static_cast<std::size_t>(std::clamp(level, 0, max_limit_level))},
            now);
    account.level -= wanted;
    account.unconfirmed += wanted;
    account.own_recent += wanted;
    ++account.unconfirmed_requests;
    record_usage(account, amount, now);
    return std::nullopt;
}

void refund(limit_account& account, const settings::usage_limit& limit, std::int64_t amount,
            base::time_point now) {
    account.level =
        std::min(std::max(account.level, limit.burst), account.level + static_cast<double>(amount));
    confirm_usage(account, static_cast<double>(amount));
    record_usage(account, -amount, now);
}

reported_usage own_usage(limit_account& account, base::time_point now) {
    mark(account, now);
    return {.before = account.used_at_mark_before, .now = account.used};
}

void apply_usage_report(limit_account& account, const settings::usage_limit& limit,
                        const limit_participants& participants, const usage_reporter& reporter,
                        const reported_usage& reported, base::time_point now) {
    fill(account, limit, participants, 0);
    const auto [found, is_first] = account.others.try_emplace(reporter.host);
    limit_account::other& known = found->second;
    std::int64_t counted = reported.before;
    if (!is_first)
        counted = known.incarnation == reporter.incarnation ? known.used : 0;
    account.level -= static_cast<double>(reported.now - counted);
    start_recent_interval(account, now);
    account.others_recent += static_cast<double>(std::max<std::int64_t>(0, reported.now - counted));
    known = {reporter.incarnation, reported.now, now};
}

void evict_old_usage(limit_account& account, base::time_point now) {
    std::erase_if(account.others,
                  [now](const auto& item) { return now - item.second.last_report >= report_lifetime; });
}

void scale_level(limit_account& account, double factor) {
    if (account.level > 0)
        account.level *= factor;
}

} // namespace postpaddle::host
