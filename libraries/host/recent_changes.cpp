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
    if (!recent.runs.empty() && recent.runs.back().next != run.since)
        recent.runs.clear();
    while (!recent.runs.empty() && run.at - recent.runs.front().at >= retention)
        recent.runs.pop_front();
    recent.runs.push_back(std::move(run));
}

change_run changes_to_resend(recent_changes& recent, std::uint64_t next, base::time_point oldest,
                             std::size_t max_changes) {
    while (!recent.runs.empty() && recent.runs.front().at < oldest)
        recent.runs.pop_front();
    change_run joined{.at = {}, .since = next, .next = next, .changes = {}};
    if (recent.runs.empty() || recent.runs.back().next != next)
        return joined;
    for (const change_run& run : boost::adaptors::reverse(recent.runs)) {
        if (joined.changes.size() + run.changes.size() > max_changes)
            break;
        joined.since = run.since;
        joined.changes.insert(joined.changes.begin(), run.changes.begin(), run.changes.end());
    }
    return joined;
}

} // namespace postpaddle::host
