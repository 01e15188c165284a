// SPDX-License-Identifier: BSD-2-Clause
#include <soak/checkers.h>

#include <soak/stream_checkers.h>

#include <algorithm>
#include <csignal>
#include <map>
#include <optional>
#include <set>

namespace postpaddle::soak {

namespace {

constexpr int first_success = 200;
constexpr int first_redirection = 300;

bool is_success(int status) { return status >= first_success && status < first_redirection; }

bool is_refusal(int status) { return status == 429 || status == 503 || status == 408 || status == 421; }

/// Arrivals by attempt.
using arrival_index = std::multimap<std::string, const arrival*>;

arrival_index index_arrivals(const observations& seen) {
    arrival_index index;
    for (const arrival& row : seen.arrivals)
        index.emplace(row.attempt, &row);
    return index;
}

std::vector<const arrival*> arrivals_of(const arrival_index& index, const std::string& id) {
    std::vector<const arrival*> rows;
    const auto [first, last] = index.equal_range(id);
    for (auto row = first; row != last; ++row)
        rows.push_back(row->second);
    return rows;
}

bool overlaps(const incident& row, time_point from, time_point to) {
    return row.from <= to && row.to >= from;
}

bool had_host_incident(const observations& seen, int host, incident_kind kind, time_point from,
                       time_point to) {
    return std::ranges::any_of(seen.incidents, [&](const incident& row) {
        return row.kind == kind && row.host == host && overlaps(row, from, to);
    });
}

/// Whether nothing happened to the host's process in that time.
bool is_host_undisturbed(const observations& seen, int host, time_point from, time_point to) {
    return std::ranges::none_of(seen.incidents, [&](const incident& row) {
        return row.host == host && row.kind != incident_kind::server_ended &&
               row.kind != incident_kind::store_disturbed && overlaps(row, from, to);
    });
}

/// Whether the links of any host failed: others may have sent the request on.
bool did_links_fail(const observations& seen, time_point from, time_point to) {
    return std::ranges::any_of(seen.incidents, [&](const incident& row) {
        return row.kind == incident_kind::links_failing && overlaps(row, from, to);
    });
}

/// Whether the host was lost or frozen, or another one to which it may have sent requests on: where links
/// have failed, any.
bool was_host_away(const observations& seen, int host, time_point from, time_point to) {
    const bool may_forward = did_links_fail(seen, time_point::min(), to);
    return std::ranges::any_of(seen.incidents, [&](const incident& row) {
        return (row.kind == incident_kind::host_lost || row.kind == incident_kind::host_frozen) &&
               (row.host == host || may_forward) && overlaps(row, from, to);
    });
}

bool is_store_undisturbed(const observations& seen, time_point from, time_point to) {
    return std::ranges::none_of(seen.incidents, [&](const incident& row) {
        return row.kind == incident_kind::store_disturbed && overlaps(row, from, to);
    });
}

/// Whether the host can be held to bounds on time from then on.
bool is_in_touch(const observations& seen, const promised_bounds& bounds, int host, time_point from,
                 time_point to) {
    return is_host_undisturbed(seen, host, from - bounds.contact, to) &&
           is_store_undisturbed(seen, from - bounds.contact, to);
}

std::string describe(const attempt& row) {
    return row.id + " at host " + std::to_string(row.host) + ", " +
           std::to_string((row.ended_at - row.sent_at) / milliseconds(1)) + " ms after it was sent";
}

bool was_cut_by_server(const observations& seen, const arrival& row, time_point end) {
    if (row.is_broken_off)
        return true;
    return std::ranges::any_of(seen.incidents, [&](const incident& event) {
        return event.kind == incident_kind::server_ended && event.server == row.server && event.from <= end &&
               (!row.has_ended || row.ended_at >= event.from);
    });
}

/// The start of that id; nothing for servers that name no software version.
const engine_start* find_engine_start(const observations& seen, const std::string& server) {
    const auto found = std::ranges::find(seen.engine_starts, server, &engine_start::server);
    return found == seen.engine_starts.end() ? nullptr : &*found;
}

/// Name of the server that sealed the answer: `seal.SERVER.ATTEMPT`.
std::string sealing_server(const attempt& row) {
    const std::string start = "seal.";
    const std::string end = "." + row.id;
    if (!row.seal.starts_with(start) || !row.seal.ends_with(end) ||
        row.seal.size() < start.size() + end.size())
        return {};
    return row.seal.substr(start.size(), row.seal.size() - start.size() - end.size());
}

/// Whether a server of that version takes new requests all the time between the two.
bool is_version_served(const observations& seen, const std::string& version, time_point from, time_point to) {
    return std::ranges::any_of(seen.engine_starts, [&](const engine_start& row) {
        return row.is_decode && row.version == version && row.registered_at <= from && row.left_at > to;
    });
}

bool is_excused_by_servers(const observations& seen, const attempt& row,
                           const std::vector<const arrival*>& arrivals) {
    // In place of an answer without end the caller gets a failure, unless its stream had begun.
    const bool has_begun = row.end == attempt_end::closed && row.status != 0;
    const auto cut = std::ranges::count_if(arrivals, [&](const arrival* sent) {
        return !sent->is_prefill && sent->runs &&
               (was_cut_by_server(seen, *sent, row.ended_at) || (sent->is_endless && has_begun));
    });
    if (row.kind != request_kind::resumable_stream || seen.has_limited_budget)
        return cut > 0;
    // A stream that has begun ends with the last server of its version.
    const engine_start* began_at = find_engine_start(seen, sealing_server(row));
    if (cut > 0 && has_begun && began_at != nullptr &&
        !is_version_served(seen, began_at->version, row.ended_at, row.ended_at))
        return true;
    // With budget, a stream goes on elsewhere until its attempts are used up.
    return cut > 0 && std::ranges::count_if(arrivals, [](const arrival* sent) {
                          return !sent->is_prefill;
                      }) >= seen.max_attempts;
}

/// Whether the attempt took as long as its deadline or its route's timeout allows.
bool is_out_of_time(const observations& seen, const attempt& row) {
    static constexpr milliseconds margin(300);
    milliseconds limit = row.deadline;
    for (const settings_version& version : seen.versions)
        if (version.sent_at <= row.ended_at)
            limit = std::min(limit, version.shortest_timeout);
    return row.ended_at - row.sent_at >= limit - margin;
}

/// Whether the host was at the end of a planned stop, with the request's server still at work.
bool is_cut_by_grace(const observations& seen, const promised_bounds& bounds, const attempt& row,
                     const std::vector<const arrival*>& arrivals) {
    return std::ranges::any_of(seen.incidents, [&](const incident& stop) {
        if (stop.kind != incident_kind::host_stopping || stop.host != row.host)
            return false;
        // The last sixth of the grace time.
        const time_point late = stop.from + bounds.grace * 5 / 6;
        return row.sent_at <= stop.from + bounds.notice_of_stop && row.ended_at >= late &&
               std::ranges::any_of(
                   arrivals, [&](const arrival* sent) { return !sent->has_ended || sent->ended_at >= late; });
    });
}

/// Whether the request met the closing of its connection by a host that stops, and was not passed on.
bool is_crossed_by_stop(const observations& seen, const promised_bounds& bounds, const attempt& row,
                        const std::vector<const arrival*>& arrivals) {
    return row.end == attempt_end::closed && row.status == 0 && arrivals.empty() &&
           row.ended_at - row.sent_at <= bounds.loss_slack &&
           had_host_incident(seen, row.host, incident_kind::host_stopping, row.sent_at - bounds.loss_slack,
                             row.ended_at);
}

/// Versions that may be in force on an undisturbed host between two times.
struct version_window {
    std::size_t first = 0; ///< Index of the oldest.
    std::size_t end = 0;   ///< Index after the newest.
};

version_window versions_in_force(const observations& seen, const promised_bounds& bounds, time_point from,
                                 time_point to) {
    version_window window;
    for (std::size_t index = 0; index < seen.versions.size(); ++index) {
        if (seen.versions[index].acknowledged_at + bounds.settings <= from)
            window.first = index;
        if (seen.versions[index].sent_at <= to)
            window.end = index + 1;
    }
    return window;
}

/// All its events name the version of the server that sealed the answer.
std::string expected_stream(const observations& seen, const attempt& row, const std::string& server) {
    const engine_start* engine = find_engine_start(seen, server);
    const std::string suffix = engine == nullptr ? "" : "@" + engine->version;
    std::string text;
    for (int event = row.events_before + 1; event <= row.events; ++event)
        text += "id: " + std::to_string(event) + "\ndata: token-" + std::to_string(event) + " to " + row.id +
                suffix + "\n\n";
    return text;
}

void check_body(const observations& seen, const attempt& row, violations& found) {
    const std::string server = sealing_server(row);
    if (server.empty()) {
        found.push_back({"answers belong", describe(row) + ": seal `" + row.seal + "`"});
        return;
    }
    const bool is_stream = row.events > 0;
    const std::string expected =
        is_stream ? expected_stream(seen, row, server) : "answer of " + server + " to " + row.id;
    // Of an answer that was not read whole, what arrived must be its beginning. A stream may be broken off
    // within an event.
    const bool is_right =
        row.end == attempt_end::answered ? row.body == expected : expected.starts_with(row.body);
    if (!is_right)
        found.push_back({"answers belong", describe(row) + ": body `" + row.body + "`"});
}

} // namespace

violations check_answers_arrive(const observations& seen, const promised_bounds& bounds) {
    violations found;
    const arrival_index index = index_arrivals(seen);
    for (const attempt& row : seen.attempts) {
        if (row.end != attempt_end::closed && row.end != attempt_end::unanswered)
            continue;
        const auto arrivals = arrivals_of(index, row.id);
        const bool is_host_lost = was_host_away(seen, row.host, row.sent_at, row.ended_at);
        if (is_host_lost || did_links_fail(seen, row.sent_at, row.ended_at) ||
            is_excused_by_servers(seen, row, arrivals) || is_cut_by_grace(seen, bounds, row, arrivals) ||
            is_crossed_by_stop(seen, bounds, row, arrivals))
            continue;
        if (row.end == attempt_end::closed && is_out_of_time(seen, row))
            continue;
        std::string what = describe(row) + (row.end == attempt_end::closed ? ": closed" : ": no answer");
        what += ", " + std::to_string(row.body.size()) + " bytes of the body, sent to";
        for (const arrival* sent : arrivals)
            what += " " + sent->server + (sent->is_prefill ? " (prefill)" : "");
        found.push_back({"answers arrive", arrivals.empty() ? what + " no server" : what});
    }
    return found;
}

violations check_failures(const observations& seen) {
    static constexpr int first_failure = 500;
    violations found;
    const arrival_index index = index_arrivals(seen);
    for (const attempt& row : seen.attempts) {
        const bool is_own_failure =
            row.status >= first_failure && !is_refusal(row.status) && !row.says_not_run && row.seal.empty();
        if (!is_own_failure || is_out_of_time(seen, row))
            continue;
        const auto arrivals = arrivals_of(index, row.id);
        const bool is_cut = std::ranges::any_of(arrivals, [&](const arrival* sent) {
            return sent->is_endless || was_cut_by_server(seen, *sent, row.ended_at);
        });
        // What was sent as a server ended may not have been recorded by it.
        const bool did_server_end = std::ranges::any_of(seen.incidents, [&](const incident& event) {
            return event.kind == incident_kind::server_ended && event.from >= row.sent_at &&
                   event.from <= row.ended_at;
        });
        // The loss of its own host explains no failure that the caller got.
        const bool is_host_away =
            had_host_incident(seen, row.host, incident_kind::host_frozen, row.sent_at, row.ended_at) ||
            (did_links_fail(seen, time_point::min(), row.ended_at) &&
             was_host_away(seen, row.host, row.sent_at, row.ended_at));
        if (is_cut || did_server_end || did_links_fail(seen, row.sent_at, row.ended_at) || is_host_away)
            continue;
        std::string what = describe(row) + ": status " + std::to_string(row.status) + ", sent to";
        for (const arrival* sent : arrivals)
            what += " " + sent->server + (sent->is_prefill ? " (prefill)" : "");
        found.push_back({"failures", arrivals.empty() ? what + " no server" : what});
    }
    return found;
}

violations check_answers_belong(const observations& seen) {
    violations found;
    for (const attempt& row : seen.attempts) {
        if (row.extra_bytes > 0)
            found.push_back({"answers belong", describe(row) + ": " + std::to_string(row.extra_bytes) +
                                                   " bytes after the answer"});
        if (!row.answered_id.empty() && row.answered_id != row.id)
            found.push_back({"answers belong", describe(row) + ": answer to " + row.answered_id});
        if (is_success(row.status))
            check_body(seen, row, found);
        else if (!row.seal.empty() && sealing_server(row).empty())
            found.push_back({"answers belong", describe(row) + ": seal `" + row.seal + "`"});
    }
    return found;
}

violations check_single_runs(const observations& seen) {
    violations found;
    const arrival_index index = index_arrivals(seen);
    for (const attempt& row : seen.attempts) {
        if (!may_run_once_only(row.kind))
            continue;
        std::string servers;
        int runs = 0;
        for (const arrival* sent : arrivals_of(index, row.id)) {
            if (!sent->runs)
                continue;
            ++runs;
            servers += " " + sent->server;
        }
        if (runs > 1)
            found.push_back({"single runs", describe(row) + ": ran at" + servers});
    }
    return found;
}

violations check_refusals(const observations& seen) {
    violations found;
    const arrival_index index = index_arrivals(seen);
    for (const attempt& row : seen.attempts) {
        const bool is_refused = is_refusal(row.status) || (row.says_not_run && row.status != 0);
        if (!may_run_once_only(row.kind) || !is_refused)
            continue;
        for (const arrival* sent : arrivals_of(index, row.id))
            if (sent->runs)
                found.push_back({"refusals", describe(row) + ": status " + std::to_string(row.status) +
                                                 ", but it ran at " + sent->server});
    }
    return found;
}

namespace {

/// When a host is known to have had at least a version in force, in one life of its process.
struct shown_version {
    int version = 0;
    time_point at{};
};

/// Whether the host's process was started between two times.
bool was_restarted(const observations& seen, int host, time_point from, time_point to) {
    return std::ranges::any_of(seen.incidents, [&](const incident& row) {
        return row.kind == incident_kind::host_starting && row.host == host && row.from >= from &&
               row.from <= to;
    });
}

/// The lowest version that explains the probe: the probed one if its route was found, else any other.
std::optional<int> lowest_explanation(const observations& seen, const settings_probe& probe, int at_least) {
    for (const settings_version& row : seen.versions) {
        if (row.version < at_least || row.sent_at > probe.ended_at)
            continue;
        if ((row.version == probe.version) == probe.is_found)
            return row.version;
    }
    return std::nullopt;
}

std::string describe(const settings_probe& probe) {
    return "host " + std::to_string(probe.host) + (probe.is_found ? " serves" : " does not know") +
           " the route of version " + std::to_string(probe.version);
}

/// Probes that only a version lower than one shown before explains.
void check_no_rollback(const observations& seen, const promised_bounds& bounds,
                       const std::vector<settings_probe>& probes, violations& found) {
    // A probe that started before another one ended must not raise its floor: each probe's floor is made of
    // those that had ended before it was sent.
    std::vector<shown_version> shown;
    for (const settings_probe& probe : probes) {
        int floor = 0;
        for (const shown_version& row : shown)
            if (row.at + bounds.rollback_slack < probe.sent_at &&
                !was_restarted(seen, probe.host, row.at, probe.sent_at))
                floor = std::max(floor, row.version);
        const auto version = lowest_explanation(seen, probe, floor);
        if (!version)
            found.push_back(
                {"settings", describe(probe) + " after it had shown version " + std::to_string(floor)});
        else
            shown.push_back({*version, probe.ended_at});
    }
}

} // namespace

violations check_settings(const observations& seen, const promised_bounds& bounds) {
    violations found;
    std::map<int, std::vector<settings_probe>> probes_of_host;
    for (const settings_probe& probe : seen.probes)
        probes_of_host[probe.host].push_back(probe);
    for (auto& [host, probes] : probes_of_host) {
        std::ranges::sort(probes, {}, &settings_probe::sent_at);
        check_no_rollback(seen, bounds, probes, found);
        for (const settings_probe& probe : probes) {
            const auto window = versions_in_force(seen, bounds, probe.sent_at, probe.ended_at);
            if (window.end == 0 ||
                !is_in_touch(seen, bounds, host, seen.versions[window.first].acknowledged_at, probe.ended_at))
                continue;
            const int oldest = seen.versions[window.first].version;
            if (!lowest_explanation(seen, probe, oldest))
                found.push_back({"settings", describe(probe) + " later than the bound after version " +
                                                 std::to_string(oldest)});
        }
    }
    return found;
}

violations check_denials(const observations& seen, const promised_bounds& bounds) {
    violations found;
    for (const attempt& row : seen.attempts) {
        const bool is_denial = row.status >= 300 && row.status < 500 && !is_refusal(row.status);
        if (!is_denial || !row.seal.empty())
            continue;
        const auto window = versions_in_force(seen, bounds, row.sent_at, row.ended_at);
        if (row.status == 413) {
            const bool may_be_too_large =
                window.end == 0 ||
                std::any_of(seen.versions.begin() + static_cast<std::ptrdiff_t>(window.first),
                            seen.versions.begin() + static_cast<std::ptrdiff_t>(window.end),
                            [&](const settings_version& version) {
                                return version.body_limit < row.request_body_bytes;
                            });
            if (may_be_too_large || !is_in_touch(seen, bounds, row.host,
                                                 seen.versions[window.first].acknowledged_at, row.ended_at))
                continue;
        }
        found.push_back({"denials", describe(row) + ": status " + std::to_string(row.status) +
                                        " for a body of " + std::to_string(row.request_body_bytes) +
                                        " bytes"});
    }
    return found;
}

violations check_callers_who_left(const observations& seen, const promised_bounds& bounds) {
    // A share of the runs may take longer: the caller's close needs time to reach the host.
    static constexpr int max_exceptions = 3;
    static constexpr int max_share = 4;
    violations found;
    const arrival_index index = index_arrivals(seen);
    std::vector<std::string> late;
    int left = 0;
    for (const attempt& row : seen.attempts) {
        const time_point bound = row.ended_at + bounds.caller_gone;
        if (row.end != attempt_end::left ||
            !is_host_undisturbed(seen, row.host, row.sent_at - bounds.contact, bound))
            continue;
        for (const arrival* sent : arrivals_of(index, row.id)) {
            if (!sent->runs || !sent->has_ended || sent->ended_at < row.ended_at)
                continue;
            ++left;
            if (sent->ended_at > bound)
                late.push_back(row.id + " at " + sent->server);
        }
    }
    const int late_count = static_cast<int>(late.size());
    if (late_count > max_exceptions && late_count * max_share > left)
        found.push_back({"callers who left", std::to_string(late_count) + " of " + std::to_string(left) +
                                                 " runs went on, the first of them " + late.front()});
    for (const std::string& server : seen.servers_still_at_work)
        found.push_back({"callers who left", server + " is still at work after all requests ended"});
    return found;
}

violations check_processes(const observations& seen, const promised_bounds& bounds) {
    violations found;
    for (const host_exit& row : seen.exits) {
        // A planned stop that cut requests says so by this code; whether it was allowed to is another check.
        static constexpr int requests_cut = 5;
        // A process that was told to stop within moments of its start can't have taken the signal.
        const bool is_too_young = !row.has_been_ready && row.code == -SIGTERM;
        const bool is_expected =
            row.is_killed || (row.is_planned && (row.code == 0 || row.code == requests_cut || is_too_young));
        if (!is_expected)
            found.push_back({"processes", "host " + std::to_string(row.host) + " ended with " +
                                              std::to_string(row.code) +
                                              (row.is_planned ? " at a planned stop" : " by itself")});
    }
    for (const std::size_t bytes : seen.peak_memory_bytes)
        if (bytes > bounds.host_memory_bytes)
            found.push_back({"processes", "a host used " + std::to_string(bytes) + " bytes of memory"});
    for (const int host : seen.hosts_that_do_not_serve)
        found.push_back({"processes", "host " + std::to_string(host) + " does not serve after the faults"});
    return found;
}

violations check_departures(const observations& seen, const promised_bounds& bounds) {
    violations found;
    std::map<std::string, const attempt*> attempts;
    for (const attempt& row : seen.attempts)
        attempts[row.id] = &row;
    for (const departure& left : seen.departures) {
        for (const arrival& row : seen.arrivals) {
            static constexpr int misdirected = 421;
            if (row.server != left.server || row.at <= left.acknowledged_at + bounds.leaving ||
                row.refused_with == misdirected)
                continue;
            const auto sender = attempts.find(row.attempt);
            // Other hosts may have sent it on, so all of them must be in touch.
            const bool is_disturbed = std::ranges::any_of(seen.incidents, [&](const incident& event) {
                // Hosts that the store turns away learn from others.
                return event.kind != incident_kind::server_ended &&
                       event.kind != incident_kind::host_stopping &&
                       event.kind != incident_kind::store_turns_away &&
                       overlaps(event, left.acknowledged_at - bounds.contact, row.at);
            });
            if (sender == attempts.end() || is_disturbed)
                continue;
            found.push_back(
                {"departures", row.attempt + " reached " + row.server + " " +
                                   std::to_string((row.at - left.acknowledged_at) / milliseconds(1)) +
                                   " ms after it announced leaving"});
        }
    }
    return found;
}

violations check_all(const observations& seen, const promised_bounds& bounds) {
    violations found;
    const auto add = [&found](violations rows) {
        found.insert(found.end(), std::make_move_iterator(rows.begin()), std::make_move_iterator(rows.end()));
    };
    add(check_answers_arrive(seen, bounds));
    add(check_failures(seen));
    add(check_answers_belong(seen));
    add(check_single_runs(seen));
    add(check_refusals(seen));
    add(check_settings(seen, bounds));
    add(check_denials(seen, bounds));
    add(check_callers_who_left(seen, bounds));
    add(check_processes(seen, bounds));
    add(check_departures(seen, bounds));
    add(check_retry_budget(seen, bounds));
    add(check_one_version(seen));
    add(check_event_order(seen));
    add(check_take_ups_after_losses(seen, bounds));
    add(check_gone_versions(seen));
    return found;
}

} // namespace postpaddle::soak
