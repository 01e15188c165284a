// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace postpaddle::soak {

using base::time_point;
using std::chrono::milliseconds;

/// Routes of the soak, by what may be done with their requests.
enum class request_kind {
    once,             ///< Plain, runs at most once.
    again,            ///< Plain, may be repeated.
    stream,           ///< Stream that runs at most once.
    resumable_stream, ///< Stream that may be resumed on another server.
};

[[nodiscard]] constexpr bool may_run_once_only(request_kind kind) {
    return kind == request_kind::once || kind == request_kind::stream;
}

enum class attempt_end {
    answered,      ///< The whole answer arrived.
    closed,        ///< The connection ended before that.
    unanswered,    ///< The caller's time was over before that.
    left,          ///< The caller closed the connection on purpose.
    not_connected, ///< No connection came up, so that nothing was sent.
};

/// What a caller saw of one request.
struct attempt {
    std::string id;
    int host = 0;
    request_kind kind = request_kind::again;
    time_point sent_at{}; ///< When the last byte of the request was sent.
    time_point ended_at{};
    milliseconds deadline{}; ///< As sent in `X-Deadline-Ms`.
    attempt_end end = attempt_end::answered;
    bool is_on_kept_connection = false; ///< Not the first request of its connection.
    std::size_t request_body_bytes = 0;
    int status = 0;              ///< 0 if no head arrived.
    std::string answered_id;     ///< `X-Attempt-Id` of the answer.
    std::string seal;            ///< `X-Response-Seal` of the answer.
    bool says_not_run = false;   ///< By its status or in words.
    std::string body;            ///< What arrived of it.
    int events = 0;              ///< Events that the request asked for; 0 for plain requests.
    int events_before = 0;       ///< `Last-Event-Id` of a take-up: events that earlier attempts brought.
    std::string stream;          ///< First attempt of a stream that its caller takes up; empty for others.
    bool names_attempt = false;  ///< Whether a take-up says which attempt it resumes.
    bool has_alike_body = false; ///< Whether other callers send the same body.
    std::size_t extra_bytes = 0; ///< Bytes after the end of the answer and before the next request.
};

/// What a server recorded of one arrival.
struct arrival {
    std::string attempt;
    std::string server; ///< Id of the server's start.
    time_point at{};
    bool is_prefill = false;
    bool runs = false;
    int refused_with = 0;   ///< Status with which the server refused it; 0 if it did not.
    bool has_ended = false; ///< False if the server's process ended before.
    time_point ended_at{};
    bool is_broken_off = false; ///< The server itself broke off its answer.
    bool is_endless = false;    ///< The server sent bytes without end in place of its answer or of its rest.
};

enum class incident_kind {
    host_stopping,    ///< From SIGTERM until the process has exited.
    host_lost,        ///< From SIGKILL until the next start.
    host_starting,    ///< From the start until the host is ready.
    host_frozen,      ///< From SIGSTOP to SIGCONT.
    server_ended,     ///< Its process was killed or told to end.
    store_disturbed,  ///< Down, slow or without answers.
    store_away,       ///< Down.
    store_turns_away, ///< The store turns the host away while it serves others.
    links_failing,    ///< The links between a host and servers fail, or cut answers.
};

/// What the fault runner did; only what excuses something.
struct incident {
    incident_kind kind;
    int host = 0;         ///< Of a host's incident.
    std::string server{}; ///< Of a server's incident.
    time_point from{};
    time_point to = time_point::max();
};

/// A version of the settings, as the store acknowledged it.
struct settings_version {
    int version = 0;
    time_point sent_at{};
    time_point acknowledged_at{};
    std::size_t body_limit = 0;
    milliseconds shortest_timeout{}; ///< Of all its routes.
};

/// A request to a route that exactly one version of the settings has.
struct settings_probe {
    int host = 0;
    int version = 0; ///< Whose route it is.
    time_point sent_at{};
    time_point ended_at{};
    bool is_found = false; ///< Whether the host knew the route. Probes without an answer are not recorded.
};

/// A server announced that it leaves, or its registry entry was removed.
struct departure {
    std::string server;
    time_point acknowledged_at{};
};

/// A start of an engine that names its software version in its events.
struct engine_start {
    std::string server; ///< Id of the start.
    std::string version;
    bool is_decode = false;                  ///< Whether streams come from it.
    time_point registered_at{};              ///< When the store took its entry.
    time_point left_at = time_point::max();  ///< When it began to announce that it leaves.
    time_point ended_at = time_point::max(); ///< When its process was killed.
};

/// A host's process ended.
struct host_exit {
    int host = 0;
    time_point at{};
    int code = 0; ///< Exit code, or the negated signal.
    bool is_planned = false;
    bool is_killed = false;      ///< By the fault runner.
    bool has_been_ready = false; ///< Since its start.
};

/// Everything that was seen from outside in one run.
struct observations {
    std::vector<attempt> attempts;
    std::vector<arrival> arrivals;
    std::vector<incident> incidents;
    std::vector<settings_version> versions;
    std::vector<settings_probe> probes;
    std::vector<departure> departures;
    std::vector<host_exit> exits;
    std::vector<engine_start> engine_starts;
    std::vector<time_point> losses_of_all_hosts;    ///< When all hosts had been killed.
    std::vector<std::size_t> peak_memory_bytes;     ///< Of each host's process.
    std::vector<int> hosts_that_do_not_serve;       ///< After the last fault.
    std::vector<std::string> servers_still_at_work; ///< After the last request has ended.
    bool has_limited_budget = false; ///< Whether the retry budget may deny the resumption of a stream.
    double retry_slack = 0;          ///< Of the retry budget of each service, in requests.
    int max_attempts = 0;            ///< Of the resumable route.
};

} // namespace postpaddle::soak
