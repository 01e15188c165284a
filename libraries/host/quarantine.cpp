// SPDX-License-Identifier: BSD-2-Clause
#include <host/quarantine.h>

#include <algorithm>
#include <tuple>

namespace postpaddle::host {

namespace {

/// Ends that are remembered of one request: some more than hold it, as several hosts may see its last ones at
/// once.
constexpr std::size_t most_ends = 8;

/// Two words of one event. Hosts tell times as ages, so each that passes one on makes it later by the
/// message's time under way; what is later by less than this is the same event, and no news.
constexpr base::duration same_event = std::chrono::seconds(5);

bool is_later_event(base::time_point told, base::time_point known) { return told >= known + same_event; }

base::time_point latest_end(const quarantine::suspect& suspect) {
    base::time_point latest{};
    for (const auto& [upstream, at] : suspect.ends)
        latest = std::max(latest, at);
    return latest;
}

std::optional<base::time_point> find_good(const quarantine& table, const request_fingerprint& request) {
    const auto found = table.good.find(request);
    if (found == table.good.end())
        return std::nullopt;
    return found->second;
}

/// Forgets the oldest good end, unless the request has come to a later one.
void drop_oldest_good(quarantine& table) {
    const quarantine::good_end oldest = table.good_order.front();
    table.good_order.pop_front();
    if (find_good(table, oldest.request) == oldest.at)
        table.good.erase(oldest.request);
}

/// Remembers a good end; says whether it is later than what was known.
bool remember_good(quarantine& table, const quarantine_options& options, const request_fingerprint& request,
                   base::time_point at) {
    const auto [known, is_new] = table.good.try_emplace(request, at);
    if (!is_new && !is_later_event(at, known->second))
        return false;
    known->second = at;
    table.good_order.push_back({request, at});
    while (table.good_order.size() > options.most_good)
        drop_oldest_good(table);
    return true;
}

/// Remembers an end; says whether it was not known. Of two ends of one upstream the later counts, whichever
/// was told first.
bool remember_end(quarantine::suspect& suspect, const upstream_end& end) {
    const auto known = suspect.ends.find(end.upstream);
    if (known != suspect.ends.end()) {
        if (is_later_event(end.at, known->second))
            known->second = end.at;
        return false;
    }
    if (suspect.ends.size() >= most_ends)
        return false;
    suspect.ends.emplace(end.upstream, end.at);
    return true;
}

/// Takes away the ends for which a good end speaks.
void settle(quarantine& table, const quarantine_options& options, const request_fingerprint& request) {
    const auto found = table.suspects.find(request);
    const auto good = find_good(table, request);
    if (found == table.suspects.end() || !good)
        return;
    std::erase_if(found->second.ends,
                  [&](const auto& end) { return end.second < *good + options.good_lifetime; });
    if (found->second.ends.empty())
        table.suspects.erase(found);
}

/// Drops the request that is least suspect, of equals the one whose last end is longest ago.
void drop_least(quarantine& table) {
    const auto rank = [](const auto& item) {
        return std::make_tuple(item.second.ends.size(), latest_end(item.second));
    };
    table.suspects.erase(std::ranges::min_element(table.suspects, {}, rank));
}

} // namespace

std::optional<suspect_report> take_report(quarantine& table, const quarantine_options& options,
                                          const suspect_report& report, base::time_point now) {
    suspect_report news{.request = report.request, .ends = {}};
    if (report.good && remember_good(table, options, report.request, std::min(*report.good, now)))
        news.good = report.good;
    quarantine::suspect& suspect = table.suspects[report.request];
    for (const upstream_end& end : report.ends) {
        const upstream_end told = {end.upstream, std::min(end.at, now)};
        if (now - told.at < options.hold && remember_end(suspect, told))
            news.ends.push_back(told);
    }
    suspect.is_stored |= report.is_stored;
    if (suspect.ends.empty())
        table.suspects.erase(report.request);
    settle(table, options, report.request);
    if (table.suspects.size() > options.most_suspects)
        drop_least(table);
    if (!table.suspects.contains(report.request))
        news.ends.clear();
    if (news.ends.empty() && !news.good)
        return std::nullopt;
    return news;
}

void note_good_end(quarantine& table, const quarantine_options& options, const request_fingerprint& request,
                   base::time_point now) {
    (void)remember_good(table, options, request, now);
    settle(table, options, request);
}

std::optional<base::duration> held_for(const quarantine& table, const quarantine_options& options,
                                       const request_fingerprint& request, base::time_point now) {
    const auto found = table.suspects.find(request);
    if (found == table.suspects.end() || found->second.ends.size() < options.ends_to_hold)
        return std::nullopt;
    const base::time_point until = latest_end(found->second) + options.hold;
    if (now >= until)
        return std::nullopt;
    return until - now;
}

bool knows_later_good_end(const quarantine& table, const suspect_report& told) {
    const auto good = find_good(table, told.request);
    if (told.ends.empty() || !good)
        return false;
    return !told.good || is_later_event(*good, *told.good);
}

suspect_report report_of(const quarantine& table, const request_fingerprint& request) {
    suspect_report report{.request = request, .ends = {}, .good = find_good(table, request)};
    const auto found = table.suspects.find(request);
    if (found == table.suspects.end())
        return report;
    report.is_stored = found->second.is_stored;
    for (const auto& [upstream, at] : found->second.ends)
        report.ends.push_back({upstream, at});
    return report;
}

std::vector<suspect_report> reports_to_repeat(const quarantine& table, std::size_t most) {
    std::vector<suspect_report> reports;
    for (const auto& [request, suspect] : table.suspects)
        reports.push_back(report_of(table, request));
    const auto latest = [](const suspect_report& report) {
        return std::ranges::max(report.ends, {}, &upstream_end::at).at;
    };
    const auto rank = [&latest](const suspect_report& report) {
        return std::make_tuple(report.ends.size(), latest(report));
    };
    std::ranges::sort(reports, std::ranges::greater{}, rank);
    reports.resize(std::min(reports.size(), most));
    return reports;
}

void note_stored(quarantine& table, const request_fingerprint& request) {
    const auto found = table.suspects.find(request);
    if (found != table.suspects.end())
        found->second.is_stored = true;
}

void forget_old(quarantine& table, const quarantine_options& options, base::time_point now) {
    std::erase_if(table.suspects, [&](const auto& item) {
        const bool is_held = item.second.ends.size() >= options.ends_to_hold;
        return now - latest_end(item.second) >= (is_held ? options.hold : options.suspicion);
    });
    while (!table.good_order.empty() && now - table.good_order.front().at >= options.suspicion)
        drop_oldest_good(table);
}

} // namespace postpaddle::host
