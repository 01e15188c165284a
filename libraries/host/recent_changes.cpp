// SPDX-License-Identifier: BSD-2-Clause
#include <host/recent_changes.h>

#include <boost/range/adaptor/reversed.hpp>

#include <utility>

namespace postpaddle::host {

namespace {

/// Runs are only resent for a few seconds.
constexpr base::duration retention = std::chrono::seconds(30);

} // namespace

void record_changes(recent_changes& recent, change_run run) {
    if (run.next <= run.since)
        return;
    // Another host's run may begin before what is known here ends.
    std::erase_if(run.changes, [&run](const auto& change) { return change.offset < run.since; });
    if (!recent.runs.empty() && recent.runs.back().next != run.since)
        recent.runs.clear();
    while (!recent.runs.empty() && run.at - recent.runs.front().at >= retention)
        recent.runs.pop_front();
    recent.runs.push_back(std::move(run));
}

std::vector<change_run> split_run(const change_run& run, std::size_t max_changes) {
    std::vector<change_run> parts;
    change_run part{.at = run.at, .since = run.since, .next = run.since, .changes = {}};
    for (const decision::registry_change& change : run.changes) {
        if (part.changes.size() == max_changes) {
            part.next = change.offset;
            parts.push_back(std::exchange(
                part, {.at = run.at, .since = change.offset, .next = change.offset, .changes = {}}));
        }
        part.changes.push_back(change);
    }
    part.next = run.next;
    parts.push_back(std::move(part));
    return parts;
}

std::optional<change_run> changes_since(const recent_changes& recent, std::uint64_t since, std::uint64_t next,
                                        std::size_t max_changes) {
    change_run joined{.at = {}, .since = since, .next = next, .changes = {}};
    if (since >= next)
        return change_run{.at = {}, .since = next, .next = next, .changes = {}};
    const bool is_known =
        !recent.runs.empty() && recent.runs.front().since <= since && recent.runs.back().next == next;
    if (!is_known)
        return std::nullopt;
    for (const change_run& run : recent.runs)
        for (const decision::registry_change& change : run.changes)
            if (change.offset >= since)
                joined.changes.push_back(change);
    if (joined.changes.size() > max_changes)
        return std::nullopt;
    return joined;
}

change_run changes_to_resend(const recent_changes& recent, std::uint64_t next, base::time_point oldest,
                             std::size_t max_changes) {
    change_run joined{.at = {}, .since = next, .next = next, .changes = {}};
    if (recent.runs.empty() || recent.runs.back().next != next)
        return joined;
    for (const change_run& run : boost::adaptors::reverse(recent.runs)) {
        if (run.at < oldest || joined.changes.size() + run.changes.size() > max_changes)
            break;
        joined.since = run.since;
        joined.changes.insert(joined.changes.begin(), run.changes.begin(), run.changes.end());
    }
    return joined;
}

} // namespace postpaddle::host
