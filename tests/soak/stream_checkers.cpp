// SPDX-License-Identifier: BSD-2-Clause
#include <soak/stream_checkers.h>

#include <soak/event_text.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace postpaddle::soak {

namespace {

constexpr int first_success = 200;
constexpr int first_redirection = 300;

bool is_success(int status) { return status >= first_success && status < first_redirection; }

/// The attempts of a stream that brought events or tried to, by time.
struct stream_attempts {
    std::vector<const attempt*> attempts;
    const attempt* origin = nullptr; ///< The one that brought the first event, if any did.
    std::string version;             ///< Of the first event; empty if its engine names none.
};

std::vector<stream_event> events_of(const attempt& row) {
    return is_success(row.status) ? parse_events(row.body) : std::vector<stream_event>{};
}

std::map<std::string, stream_attempts> streams_of(const observations& seen) {
    std::map<std::string, stream_attempts> streams;
    for (const attempt& row : seen.attempts)
        if (row.events > 0)
            streams[row.stream.empty() ? row.id : row.stream].attempts.push_back(&row);
    for (auto& [id, stream] : streams) {
        std::ranges::sort(stream.attempts, {}, &attempt::sent_at);
        for (const attempt* row : stream.attempts) {
            const auto events = events_of(*row);
            if (events.empty())
                continue;
            stream.origin = row;
            stream.version = events.front().version;
            break;
        }
    }
    return streams;
}

std::multimap<std::string, const arrival*> index_arrivals(const observations& seen) {
    std::multimap<std::string, const arrival*> index;
    for (const arrival& row : seen.arrivals)
        index.emplace(row.attempt, &row);
    return index;
}

std::string describe(const attempt& row) {
    std::string text =
        row.id + " at host " + std::to_string(row.host) + " (status " + std::to_string(row.status);
    if (row.events_before > 0)
        text += ", after event " + std::to_string(row.events_before) +
                (row.names_attempt ? ", names its attempt" : ", names no attempt");
    return text + (row.has_alike_body ? ", body alike)" : ")");
}

/// The attempts that brought events or ran, and the number of the others.
std::string describe(const stream_attempts& stream, const std::multimap<std::string, const arrival*>& index) {
    std::string text;
    int without_run = 0;
    for (const attempt* row : stream.attempts) {
        std::string outcome;
        std::set<std::string> versions;
        for (const stream_event& event : events_of(*row))
            versions.insert(event.version);
        for (const std::string& version : versions)
            outcome += ", events of " + version;
        const auto [first, last] = index.equal_range(row->id);
        for (auto sent = first; sent != last; ++sent)
            if (sent->second->runs)
                outcome += ", ran at " + sent->second->server;
        if (outcome.empty())
            ++without_run;
        else
            text += describe(*row) + outcome + "; ";
    }
    return text + std::to_string(without_run) + " other attempts";
}

bool overlaps(const incident& row, time_point from, time_point to) {
    return row.from <= to && row.to >= from;
}

bool has_live_server(const observations& seen, const std::string& version, time_point from, time_point to,
                     milliseconds known_after) {
    return std::ranges::any_of(seen.engine_starts, [&](const engine_start& row) {
        return row.is_decode && row.version == version && row.registered_at + known_after <= from &&
               row.left_at > to;
    });
}

/// When the host was ready again after a time; nothing if it was not.
std::optional<time_point> ready_after(const observations& seen, int host, time_point loss) {
    std::optional<time_point> ready;
    for (const incident& row : seen.incidents)
        if (row.kind == incident_kind::host_starting && row.host == host && row.from >= loss &&
            (!ready || row.to < *ready))
            ready = row.to;
    return ready;
}

bool has_one_version_until(const observations& seen, time_point end) {
    std::set<std::string> versions;
    for (const engine_start& row : seen.engine_starts)
        if (row.registered_at <= end)
            versions.insert(row.version);
    return versions.size() <= 1;
}

/// Whether a take-up counts: what it needs was there, and its caller waited for the outcome.
bool does_count(const observations& seen, const promised_bounds& bounds, const stream_attempts& stream,
                const attempt& row, std::optional<time_point> from, time_point to) {
    const bool is_in_time = from && row.sent_at >= *from && row.ended_at < to &&
                            row.sent_at < stream.origin->sent_at + stream.origin->deadline;
    const bool has_outcome =
        row.status != 0 || row.end == attempt_end::closed || row.end == attempt_end::unanswered;
    if (row.events_before == 0 || !is_in_time || !has_outcome ||
        !has_live_server(seen, stream.version, row.sent_at, row.ended_at, bounds.leaving))
        return false;
    return std::ranges::none_of(seen.incidents, [&](const incident& event) {
        const bool is_of_host = event.host == row.host && event.kind != incident_kind::server_ended &&
                                overlaps(event, row.sent_at, row.ended_at);
        return is_of_host || (event.kind == incident_kind::store_away &&
                              overlaps(event, stream.origin->sent_at, row.ended_at));
    });
}

void add_take_up(const observations& seen, const stream_attempts& stream, const attempt& row,
                 take_up_counts& counts) {
    take_up_count& count = row.names_attempt    ? counts.named
                           : row.has_alike_body ? counts.unnamed_alike
                                                : counts.unnamed;
    ++count.counted;
    if (is_success(row.status)) {
        ++count.went_on;
        return;
    }
    count.refused_with_one_version += has_one_version_until(seen, row.ended_at) ? 1 : 0;
    count.refused.push_back(describe(row) + ", " +
                            std::to_string((row.sent_at - stream.origin->sent_at) / milliseconds(1)) +
                            " ms after " + stream.origin->id + " began it at " + stream.version);
}

} // namespace

take_up_counts count_take_ups_after_losses(const observations& seen, const promised_bounds& bounds) {
    take_up_counts counts;
    const auto streams = streams_of(seen);
    const auto& losses = seen.losses_of_all_hosts;
    for (std::size_t number = 0; number < losses.size(); ++number) {
        const time_point loss = losses[number];
        const time_point next_loss = number + 1 < losses.size() ? losses[number + 1] : time_point::max();
        for (const auto& entry : streams) {
            const stream_attempts& stream = entry.second;
            if (stream.origin == nullptr || stream.version.empty() || stream.origin->sent_at >= loss)
                continue;
            const auto taken_up = std::ranges::find_if(stream.attempts, [&](const attempt* row) {
                return does_count(seen, bounds, stream, *row, ready_after(seen, row->host, loss), next_loss);
            });
            if (taken_up != stream.attempts.end())
                add_take_up(seen, stream, **taken_up, counts);
        }
    }
    return counts;
}

take_up_counts count_take_ups_without_loss(const observations& seen, const promised_bounds& bounds) {
    take_up_counts counts;
    const auto streams = streams_of(seen);
    for (const auto& entry : streams) {
        const stream_attempts& stream = entry.second;
        if (stream.origin == nullptr || stream.version.empty())
            continue;
        const time_point began_at = stream.origin->sent_at;
        const auto loss = std::ranges::upper_bound(seen.losses_of_all_hosts, began_at);
        const time_point next_loss = loss == seen.losses_of_all_hosts.end() ? time_point::max() : *loss;
        const auto taken_up = std::ranges::find_if(stream.attempts, [&](const attempt* row) {
            return does_count(seen, bounds, stream, *row, began_at, next_loss);
        });
        if (taken_up != stream.attempts.end())
            add_take_up(seen, stream, **taken_up, counts);
    }
    return counts;
}

violations check_one_version(const observations& seen) {
    violations found;
    std::map<std::string, std::string> version_of_server;
    for (const engine_start& row : seen.engine_starts)
        version_of_server[row.server] = row.version;
    const auto index = index_arrivals(seen);
    for (const auto& [id, stream] : streams_of(seen)) {
        if (stream.origin == nullptr)
            continue;
        std::set<std::string> seen_versions;
        std::set<std::string> run_versions = {stream.version};
        for (const attempt* row : stream.attempts) {
            for (const stream_event& event : events_of(*row))
                seen_versions.insert(event.version);
            const auto [first, last] = index.equal_range(row->id);
            for (auto sent = first; sent != last; ++sent)
                if (sent->second->runs && row->events_before > 0)
                    run_versions.insert(version_of_server[sent->second->server]);
        }
        if (seen_versions.size() > 1 || run_versions.size() > 1)
            found.push_back(
                {"one version", "stream " + id +
                                    (seen_versions.size() > 1 ? " is mixed: " : " ran at another version: ") +
                                    describe(stream, index)});
    }
    return found;
}

violations check_event_order(const observations& seen) {
    violations found;
    const auto index = index_arrivals(seen);
    for (const auto& [id, stream] : streams_of(seen)) {
        int last = 0;
        bool is_in_order = true;
        for (const attempt* row : stream.attempts) {
            // A request that is sent anew, without the id of an event, begins anew.
            if (row->events_before == 0)
                last = 0;
            for (const stream_event& event : events_of(*row))
                is_in_order &= event.id == ++last;
        }
        if (!is_in_order)
            found.push_back({"event order", "stream " + id + ": " + describe(stream, index)});
    }
    return found;
}

violations check_take_ups_after_losses(const observations& seen, const promised_bounds& bounds) {
    // Without budget, or if servers break it off, a take-up may be refused as another request may.
    if (seen.has_limited_budget)
        return {};
    static constexpr int refused_of_counted = 10;
    const take_up_count named = count_take_ups_after_losses(seen, bounds).named;
    const int refused = named.counted - named.went_on;
    const bool are_too_many = refused > 1 && refused * refused_of_counted > named.counted;
    if (!are_too_many && named.refused_with_one_version == 0)
        return {};
    std::string what = std::to_string(named.went_on) + " of " + std::to_string(named.counted) +
                       " named take-ups went on, " + std::to_string(named.refused_with_one_version) +
                       " were refused with one version only";
    for (const std::string& row : named.refused)
        what += "; " + row;
    return {{"take-ups after a loss", what}};
}

violations check_gone_versions(const observations& seen) {
    violations found;
    const auto index = index_arrivals(seen);
    const auto streams = streams_of(seen);
    for (const auto& entry : streams) {
        const stream_attempts& stream = entry.second;
        if (stream.origin == nullptr || stream.version.empty())
            continue;
        for (const attempt* row : stream.attempts) {
            const bool has_server = std::ranges::any_of(seen.engine_starts, [&](const engine_start& start) {
                return start.is_decode && start.version == stream.version && start.ended_at > row->sent_at;
            });
            if (row->events_before == 0 || has_server)
                continue;
            const auto [first, last] = index.equal_range(row->id);
            const bool has_run = std::any_of(first, last, [](const auto& sent) { return sent.second->runs; });
            const bool is_refused = row->status == 0 || row->says_not_run;
            if (has_run || !is_refused)
                found.push_back({"gone versions", "no server of " + stream.version + " was left: " +
                                                      describe(*row) + (has_run ? ", it ran" : "")});
        }
    }
    return found;
}

} // namespace postpaddle::soak
