// SPDX-License-Identifier: BSD-2-Clause
#include <host/quarantine.h>

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <set>
#include <tuple>

namespace postpaddle::host {

namespace {

/// Maximum number of exits kept per request. More than are needed for quarantine, since several hosts may
/// observe the last ones at once.
constexpr std::size_t max_exits = 8;

/// Number of latest exits kept per part, beside the earliest ones: they tell until when it is held.
constexpr std::size_t max_late_exits = 3;

/// Number of earliest exits kept per part, from which the time of blame is determined: later exits are
/// replaced by newer ones. Exits of adjacent intervals may be less than `same_moment` apart, so this many
/// always hold one moment more than `part_moments_to_hold`.
std::size_t max_early_exits(const quarantine_options& options) {
    const std::size_t moments = options.part_moments_to_hold + 1;
    return 2 * moments - 1;
}

/// Reports of one event may differ by this much: times are sent as ages, so each hop adds the message's
/// transit time. Smaller differences are not treated as a new event.
constexpr base::duration same_event = std::chrono::seconds(5);

/// The same for runs with a part of prompts, which come in quick succession. Their word is told by the host
/// that saw them only.
constexpr base::duration same_run = std::chrono::milliseconds(50);

bool is_later_event(base::time_point reported, base::time_point known) {
    return reported >= known + same_event;
}

base::time_point latest_exit(const quarantine::suspect& suspect) {
    base::time_point latest{};
    for (const auto& [upstream, exit] : suspect.exits)
        latest = std::max(latest, exit.at);
    return latest;
}

std::optional<base::time_point> find_success(const quarantine& table, const request_fingerprint& request) {
    const auto found = table.last_success.find(request);
    if (found == table.last_success.end())
        return std::nullopt;
    return found->second;
}

/// Evicts the oldest success, unless the request has succeeded again since.
void drop_oldest_success(quarantine& table) {
    const quarantine::success oldest = table.success_order.front();
    table.success_order.pop_front();
    if (find_success(table, oldest.request) == oldest.at)
        table.last_success.erase(oldest.request);
}

/// Records a success. Returns whether it is later than the one known before.
bool remember_success(quarantine& table, const quarantine_options& options,
                      const request_fingerprint& request, base::time_point at) {
    const auto [known, is_new] = table.last_success.try_emplace(request, at);
    const bool is_later =
        is_prompt_part(request) ? at >= known->second + same_run : is_later_event(at, known->second);
    if (!is_new && !is_later)
        return false;
    known->second = at;
    table.success_order.push_back({request, at});
    while (table.success_order.size() > options.max_successes)
        drop_oldest_success(table);
    return true;
}

/// Drops the exits under a part that say the least, so that those of one moment never displace others: keeps
/// the first of each interval and, of these, the earliest and the latest. What is kept does not depend on the
/// order in which exits are recorded.
void drop_redundant_exits(quarantine::suspect& suspect, const quarantine_options& options) {
    std::map<std::int64_t, upstream_exit> first_of_interval;
    for (const auto& [upstream, exit] : suspect.exits) {
        const auto interval = exit.at.time_since_epoch() / options.same_moment;
        const auto [known, is_new] = first_of_interval.try_emplace(interval, exit);
        if (!is_new && std::tie(exit.at, exit.upstream) < std::tie(known->second.at, known->second.upstream))
            known->second = exit;
    }
    const std::size_t early_exits = max_early_exits(options);
    if (first_of_interval.size() > early_exits + max_late_exits) {
        const auto first_dropped =
            std::next(first_of_interval.begin(), static_cast<std::ptrdiff_t>(early_exits));
        const auto first_late = std::prev(first_of_interval.end(), max_late_exits);
        first_of_interval.erase(first_dropped, first_late);
    }
    suspect.exits.clear();
    for (const auto& [interval, exit] : first_of_interval)
        suspect.exits.emplace(exit.upstream, exit);
}

/// Records an exit under a part. Returns whether it was unknown and is kept.
bool remember_part_exit(quarantine::suspect& suspect, const quarantine_options& options,
                        const upstream_exit& observed) {
    if (!suspect.exits.emplace(observed.upstream, observed).second)
        return false;
    drop_redundant_exits(suspect, options);
    return suspect.exits.contains(observed.upstream);
}

/// Records an exit. Returns whether it was unknown. Of two exits of one upstream, the later one is kept.
bool remember_exit(quarantine::suspect& suspect, const upstream_exit& observed) {
    const auto known = suspect.exits.find(observed.upstream);
    if (known != suspect.exits.end()) {
        if (is_later_event(observed.at, known->second.at))
            known->second.at = observed.at;
        return false;
    }
    if (suspect.exits.size() >= max_exits)
        return false;
    suspect.exits.emplace(observed.upstream, observed);
    return true;
}

/// Removes the exits from which a success exonerates the request.
void discard_exonerated_exits(quarantine& table, const quarantine_options& options,
                              const request_fingerprint& request) {
    const auto found = table.suspects.find(request);
    const auto last_success = find_success(table, request);
    if (found == table.suspects.end() || !last_success)
        return;
    const base::duration lifetime = is_prompt_part(request) ? base::duration{} : options.success_lifetime;
    std::erase_if(found->second.exits,
                  [&](const auto& observed) { return observed.second.at < *last_success + lifetime; });
    if (found->second.exits.empty())
        table.suspects.erase(found);
}

/// When the exits under a part became enough to blame it; nothing if they are not.
std::optional<base::time_point> blamed_at(const quarantine::suspect& suspect,
                                          const quarantine_options& options) {
    std::vector<upstream_exit> exits;
    for (const auto& [upstream, exit] : suspect.exits)
        exits.push_back(exit);
    std::ranges::sort(exits, {}, &upstream_exit::at);
    std::set<std::uint64_t> requests;
    std::size_t moments = 0;
    base::time_point last_moment{};
    for (const upstream_exit& exit : exits) {
        if (moments == 0 || exit.at - last_moment >= options.same_moment) {
            ++moments;
            last_moment = exit.at;
            requests.insert(exit.request);
        }
        const bool has_requests =
            requests.size() >= options.part_requests_to_hold ||
            (requests.size() + 1 >= options.part_requests_to_hold && moments > options.part_moments_to_hold);
        if (has_requests && moments >= options.part_moments_to_hold)
            return exit.at;
    }
    return std::nullopt;
}

/// Updates since when this host blames a part, after changes of its exits.
void update_blame(quarantine::suspect& suspect, const quarantine_options& options, base::time_point now) {
    if (!blamed_at(suspect, options))
        suspect.blame_known_at.reset();
    else if (!suspect.blame_known_at)
        suspect.blame_known_at = now;
}

/// Evicts the request with the fewest exits; among equals, the one whose last exit is the oldest.
void drop_least_suspect(quarantine& table) {
    const auto rank = [](const auto& item) {
        return std::make_tuple(item.second.exits.size(), latest_exit(item.second));
    };
    table.suspects.erase(std::ranges::min_element(table.suspects, {}, rank));
}

} // namespace

std::optional<suspect_report> apply_report(quarantine& table, const quarantine_options& options,
                                           const suspect_report& report, base::time_point now) {
    suspect_report update{.request = report.request, .exits = {}};
    if (report.last_success &&
        remember_success(table, options, report.request, std::min(*report.last_success, now)))
        update.last_success = report.last_success;
    quarantine::suspect& suspect = table.suspects[report.request];
    for (const upstream_exit& observed : report.exits) {
        const upstream_exit reported = {observed.upstream, std::min(observed.at, now), observed.request};
        if (now - reported.at >= options.hold)
            continue;
        const bool is_new = is_prompt_part(report.request) ? remember_part_exit(suspect, options, reported)
                                                           : remember_exit(suspect, reported);
        if (is_new)
            update.exits.push_back(reported);
    }
    suspect.is_stored |= report.is_stored;
    if (suspect.exits.empty())
        table.suspects.erase(report.request);
    discard_exonerated_exits(table, options, report.request);
    const auto remaining = table.suspects.find(report.request);
    if (is_prompt_part(report.request) && remaining != table.suspects.end())
        update_blame(remaining->second, options, now);
    if (table.suspects.size() > options.max_suspects)
        drop_least_suspect(table);
    if (!table.suspects.contains(report.request))
        update.exits.clear();
    if (update.exits.empty() && !update.last_success)
        return std::nullopt;
    return update;
}

void record_success(quarantine& table, const quarantine_options& options, const request_fingerprint& request,
                    base::time_point now) {
    (void)remember_success(table, options, request, now);
    discard_exonerated_exits(table, options, request);
}

std::vector<request_fingerprint> record_survival(quarantine& table, service_key service,
                                                 const std::vector<request_fingerprint>& parts,
                                                 base::time_point began) {
    base::time_point& last = table.last_survival[service];
    last = std::max(last, began);
    std::vector<request_fingerprint> cleared;
    for (const request_fingerprint& part : parts) {
        const auto suspect = table.suspects.find(part);
        if (suspect != table.suspects.end() &&
            std::ranges::any_of(suspect->second.exits,
                                [began](const auto& exit) { return exit.second.at < began; }))
            cleared.push_back(part);
    }
    return cleared;
}

namespace {

/// Whether runs of the service without the part have survived since its first exit. Otherwise the service as
/// a whole may be down. A run with the part would have cleared it.
bool do_others_survive(const quarantine& table, const request_fingerprint& part,
                       const quarantine::suspect& suspect) {
    const auto survival = table.last_survival.find(service_key_of(part));
    return survival != table.last_survival.end() && std::ranges::any_of(suspect.exits, [&](const auto& exit) {
               return exit.second.at < survival->second;
           });
}

std::optional<base::duration> remaining_part_hold(const quarantine& table, const quarantine_options& options,
                                                  const request_fingerprint& part,
                                                  const quarantine::suspect& suspect, base::time_point now) {
    const auto blamed = blamed_at(suspect, options);
    if (!blamed || !suspect.blame_known_at || !do_others_survive(table, part, suspect))
        return std::nullopt;
    // A host that learns of the exits long after them, such as one that has just started, need not wait.
    const base::time_point known = std::min(*suspect.blame_known_at, *blamed + options.exit_report_time);
    if (now - known < options.part_grace)
        return std::nullopt;
    const base::time_point until = latest_exit(suspect) + options.part_hold;
    if (now >= until)
        return std::nullopt;
    return until - now;
}

} // namespace

std::optional<base::duration> remaining_hold(const quarantine& table, const quarantine_options& options,
                                             const request_fingerprint& request, base::time_point now) {
    const auto found = table.suspects.find(request);
    if (found == table.suspects.end())
        return std::nullopt;
    if (is_prompt_part(request))
        return remaining_part_hold(table, options, request, found->second, now);
    if (found->second.exits.size() < options.exits_to_hold)
        return std::nullopt;
    const base::time_point until = latest_exit(found->second) + options.hold;
    if (now >= until)
        return std::nullopt;
    return until - now;
}

bool knows_later_success(const quarantine& table, const suspect_report& reported) {
    const auto last_success = find_success(table, reported.request);
    if (reported.exits.empty() || !last_success)
        return false;
    return !reported.last_success || is_later_event(*last_success, *reported.last_success);
}

suspect_report report_of(const quarantine& table, const request_fingerprint& request) {
    suspect_report report{.request = request, .exits = {}, .last_success = find_success(table, request)};
    const auto found = table.suspects.find(request);
    if (found == table.suspects.end())
        return report;
    report.is_stored = found->second.is_stored;
    for (const auto& [upstream, exit] : found->second.exits)
        report.exits.push_back(exit);
    return report;
}

std::vector<suspect_report> reports_to_resend(const quarantine& table, std::size_t max_reports) {
    std::vector<suspect_report> reports;
    for (const auto& [request, suspect] : table.suspects)
        reports.push_back(report_of(table, request));
    const auto latest = [](const suspect_report& report) {
        return std::ranges::max(report.exits, {}, &upstream_exit::at).at;
    };
    const auto rank = [&latest](const suspect_report& report) {
        return std::make_tuple(report.exits.size(), latest(report));
    };
    std::ranges::sort(reports, std::ranges::greater{}, rank);
    reports.resize(std::min(reports.size(), max_reports));
    return reports;
}

void record_stored(quarantine& table, const request_fingerprint& request) {
    const auto found = table.suspects.find(request);
    if (found != table.suspects.end())
        found->second.is_stored = true;
}

void evict_expired(quarantine& table, const quarantine_options& options, base::time_point now) {
    std::erase_if(table.suspects, [&](const auto& item) {
        const bool is_held = item.second.exits.size() >= options.exits_to_hold;
        return now - latest_exit(item.second) >= (is_held ? options.hold : options.suspicion);
    });
    while (!table.success_order.empty() && now - table.success_order.front().at >= options.suspicion)
        drop_oldest_success(table);
}

} // namespace postpaddle::host
