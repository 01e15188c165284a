// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace postpaddle::soak {

using std::chrono::milliseconds;

enum class fault_kind {
    host_stop,             ///< SIGTERM; restarted `lasts` after its exit.
    host_reload,           ///< SIGHUP.
    host_kill,             ///< SIGKILL; restarted after `lasts`.
    host_freeze,           ///< SIGSTOP, and SIGCONT after `lasts`.
    settings_change,       ///< A new version, drawn from `amount`.
    server_silence,        ///< The server sends nothing for `lasts`, then goes on.
    stream_silence,        ///< The next `amount` of its streams send nothing for `lasts`, once, then go on.
    server_kill,           ///< SIGKILL; another start under a new id after `lasts`.
    server_leave,          ///< Announces leaving, ends later; another start under a new id after `lasts`.
    server_leave_silently, ///< The same, but its entry disappears without an announcement.
    server_refuse,         ///< Refuses the next `amount` requests.
    server_late,           ///< Takes `amount` ms for each step during `lasts`.
    server_double,         ///< Sends an answer to nobody after the next `amount` answers.
    server_copy,           ///< Sends the next `amount` short answers once more, when the next one is due.
    server_break,          ///< Breaks off the next `amount` streams.
    server_lose,           ///< Closes the connection in place of the next `amount` answers.
    server_endless,        ///< Sends bytes without end in place of some answers within `lasts`; which and
                           ///< how is drawn from `amount`.
    store_slow,            ///< Each answer of the store takes `amount` ms more during `lasts`.
    store_down,            ///< `amount`: 0 refuses, 1 resets, 2 is silent, during `lasts`.
    store_lose,            ///< The next `amount` appends take effect without an answer.
    hosts_all_kill,        ///< SIGKILL of all hosts at once; restarted after `lasts`.
    server_close,          ///< Closes `amount` in a hundred requests without an answer during `lasts`.
    engines_release,       ///< Engines of a newer version replace running ones; `amount` is a release_course.
    links_fail,            ///< A host's links to servers fail for `lasts`; to which and how is drawn from
                           ///< `amount`.
    engines_close,         ///< Engines close `amount` in a hundred requests without an answer during `lasts`.
    answers_cut,           ///< A host's connections to servers end after `amount` bytes of answers, during
                           ///< `lasts`.
    hosts_turned_away, ///< The store turns away `target` and further hosts during `lasts`; how many and how
                       ///< is drawn from `amount`.
    server_restart,    ///< Starts again under its id, with `amount` as its start time, or none if 0.
    odd_entry,         ///< Somebody writes an entry that no server wrote, drawn from `amount`.
    store_forget, ///< The store forgets the history of topics, at times again at once, and at times lists
                  ///< only older records during `lasts`; which and how is drawn from `amount`.
    client_crowd, ///< Clients that keep no limit come to a host, and leave after `lasts`; which is drawn from
                  ///< `amount`.
};

/// How a release replaces engines. A new one starts and is registered before its predecessor leaves.
enum class release_course {
    fast,    ///< All at once.
    slow,    ///< One after the other.
    partial, ///< All of one half at once, so that the other half's version stays.
};

/// Name of the kind in reports.
[[nodiscard]] const char* to_text(fault_kind kind);

struct planned_fault {
    milliseconds at{0}; ///< From the start of the plan.
    fault_kind kind{};
    int target = 0; ///< Host, counted from 1, or place of a server in `server_places`.
    milliseconds lasts{0};
    int amount = 0;

    bool operator==(const planned_fault&) const = default;
};

/// Which faults a plan has. The first has only what excuses nothing, so that every lost request counts.
enum class fault_mix {
    planned, ///< Stops, reloads, changes of settings, silences.
    servers, ///< These and the servers' faults.
    hosts,   ///< These and the faults of hosts and the store.
    all,
    releases, ///< Releases of engines, losses of all hosts at once, and faults of hosts and the store.
    breaks,   ///< Requests that servers close, refuse and break off, with little retry budget, beside stops,
              ///< kills, freezes and losses of hosts.
    combined, ///< The faults of the two before, links that fail and answers that are cut on them, in series
              ///< and at once, with little retry budget.
    departures, ///< Servers that leave with and without a word, all of a kind at once as well, or start again
                ///< with any clock, beside hosts that the store turns away, history that it forgets and odd
                ///< entries.
    memory,     ///< Servers that send a lot without end to many callers at once, callers with large bodies,
                ///< and planned stops beside long streams, before hosts with little memory.
    crowds, ///< Clients that keep no limit, beside planned stops, changes of the settings and servers that
            ///< send without end, before hosts with little memory.
};
/// Mixes that a seed names by its remainder; the others are asked for.
inline constexpr int mixes_of_seeds = 4;

[[nodiscard]] const char* to_text(fault_mix mix);

/// Whether hosts have little memory.
[[nodiscard]] bool is_about_memory(fault_mix mix);

/// Whether engines have software versions, and callers take up their streams.
[[nodiscard]] bool has_software_versions(fault_mix mix);

/// A place that a server has in the cluster. Its successive starts have ids of their own.
struct server_place {
    const char* name;
    const char* service;
    const char* stage;
};
[[nodiscard]] const std::vector<server_place>& server_places();

struct plan_options {
    std::uint64_t seed = 1;
    int hosts = 3;
    milliseconds length{15'000};
    std::optional<fault_mix> mix{}; ///< In place of the seed's own.
};

struct fault_plan {
    plan_options options;
    fault_mix mix = fault_mix::planned;
    bool has_limited_budget = false;   ///< Whether the slack of the retry budget is small.
    bool has_two_versions = false;     ///< Whether the halves of the engines begin with different versions.
    std::vector<planned_fault> faults; ///< By time.

    bool operator==(const fault_plan&) const;
};

/// Half of the engines that a place belongs to, 0 or 1; each has a prefill engine and decode engines. Nothing
/// for other servers.
[[nodiscard]] std::optional<int> half_of_engines(int place);

/// Draws a plan. The same options give the same plan on each machine. But for `hosts_all_kill`, hosts and
/// servers of a kind are never all away at once: at least half of them have no planned stop, end or freeze.
[[nodiscard]] fault_plan make_plan(const plan_options& options);

} // namespace postpaddle::soak
