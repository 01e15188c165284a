// SPDX-License-Identifier: BSD-2-Clause
// Each checker of the soak reports made-up observations that break its promise, and none that keep it. Guards
// against a soak that is green because a checker sees nothing.
#include <soak/checkers.h>
#include <soak/fault_plan.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace postpaddle;
using namespace postpaddle::soak;
using namespace std::chrono_literals;

namespace {

const promised_bounds bounds;

time_point at(milliseconds time) { return time_point(1h) + time; }

attempt make_attempt(request_kind kind, attempt_end end = attempt_end::answered) {
    attempt row;
    row.id = "a-1";
    row.host = 1;
    row.kind = kind;
    row.sent_at = at(0ms);
    row.ended_at = at(1'000ms);
    row.deadline = 12'000ms;
    row.end = end;
    return row;
}

attempt make_answer(request_kind kind, int events) {
    attempt row = make_attempt(kind);
    row.status = 200;
    row.answered_id = row.id;
    row.seal = "seal.s1-1.a-1";
    row.events = events;
    row.body = "answer of s1-1 to a-1";
    if (events > 0)
        row.body.clear();
    for (int event = 1; event <= events; ++event)
        row.body += "id: " + std::to_string(event) + "\ndata: token-" + std::to_string(event) + " to a-1\n\n";
    return row;
}

arrival make_run(const std::string& server = "s1-1") {
    return {.attempt = "a-1",
            .server = server,
            .at = at(10ms),
            .runs = true,
            .has_ended = true,
            .ended_at = at(900ms)};
}

incident make_incident(incident_kind kind, milliseconds from, milliseconds to, int host = 1) {
    return {kind, host, "", at(from), at(to)};
}

observations with_attempt(attempt row, std::vector<arrival> arrivals = {}) {
    observations seen;
    seen.attempts.push_back(std::move(row));
    seen.arrivals = std::move(arrivals);
    seen.max_attempts = 3;
    return seen;
}

/// Versions 2 and 3, acknowledged at 0 and 10 s.
observations with_versions() {
    observations seen;
    seen.versions = {{2, at(-10ms), at(0ms), 65'536, 9'000ms},
                     {3, at(9'990ms), at(10'000ms), 262'144, 9'000ms}};
    return seen;
}

settings_probe make_probe(int version, milliseconds sent, bool is_found) {
    return {1, version, at(sent), at(sent + 20ms), is_found};
}

} // namespace

TEST_CASE("a closed connection and a missing answer are reported") {
    for (const attempt_end end : {attempt_end::closed, attempt_end::unanswered})
        for (const request_kind kind : {request_kind::once, request_kind::stream, request_kind::again})
            CHECK(check_answers_arrive(with_attempt(make_attempt(kind, end), {make_run()}), bounds).size() ==
                  1);
    for (const attempt_end end : {attempt_end::answered, attempt_end::left, attempt_end::not_connected})
        CHECK(check_answers_arrive(with_attempt(make_attempt(request_kind::once, end)), bounds).empty());
}

TEST_CASE("only the loss of its own host excuses a request without an answer") {
    auto seen = with_attempt(make_attempt(request_kind::once, attempt_end::closed), {make_run()});
    for (const incident_kind kind : {incident_kind::host_lost, incident_kind::host_frozen}) {
        seen.incidents = {make_incident(kind, 500ms, 600ms)};
        CHECK(check_answers_arrive(seen, bounds).empty());
        seen.incidents = {make_incident(kind, 500ms, 600ms, 2)};
        CHECK(check_answers_arrive(seen, bounds).size() == 1);
        seen.incidents = {make_incident(kind, -600ms, -500ms)};
        CHECK(check_answers_arrive(seen, bounds).size() == 1);
    }
    // Neither a planned stop nor a disturbed store excuses a request that was passed on.
    seen.incidents = {make_incident(incident_kind::host_stopping, -100ms, 2'000ms),
                      make_incident(incident_kind::store_disturbed, -100ms, 2'000ms, 0)};
    CHECK(check_answers_arrive(seen, bounds).size() == 1);
}

TEST_CASE("a request that meets the closing of its connection is excused only if no server got it") {
    auto row = make_attempt(request_kind::once, attempt_end::closed);
    row.ended_at = at(100ms);
    auto seen = with_attempt(row);
    CHECK(check_answers_arrive(seen, bounds).size() == 1);
    seen.incidents = {make_incident(incident_kind::host_stopping, -100ms, 2'000ms)};
    CHECK(check_answers_arrive(seen, bounds).empty());
    seen.arrivals = {make_run()};
    CHECK(check_answers_arrive(seen, bounds).size() == 1);
    seen.arrivals.clear();
    seen.attempts[0].ended_at = at(400ms);
    CHECK(check_answers_arrive(seen, bounds).size() == 1);
}

TEST_CASE("a request is excused by its own server's end, a resumable stream only by its last attempt") {
    arrival cut = make_run();
    cut.has_ended = false;
    auto seen = with_attempt(make_attempt(request_kind::stream, attempt_end::closed), {cut});
    CHECK(check_answers_arrive(seen, bounds).size() == 1);
    seen.incidents = {{incident_kind::server_ended, 0, "other", at(500ms)}};
    CHECK(check_answers_arrive(seen, bounds).size() == 1);
    seen.incidents = {{incident_kind::server_ended, 0, "s1-1", at(500ms)}};
    CHECK(check_answers_arrive(seen, bounds).empty());
    seen.attempts[0].kind = request_kind::resumable_stream;
    CHECK(check_answers_arrive(seen, bounds).size() == 1);
    seen.arrivals = {cut, make_run("s2-1"), make_run("s3-1")};
    CHECK(check_answers_arrive(seen, bounds).empty());
    seen.arrivals = {cut};
    seen.has_limited_budget = true;
    CHECK(check_answers_arrive(seen, bounds).empty());
}

TEST_CASE("a broken off answer excuses its request, a silence does not") {
    arrival broken = make_run();
    broken.is_broken_off = true;
    CHECK(check_answers_arrive(
              with_attempt(make_attempt(request_kind::stream, attempt_end::closed), {broken}), bounds)
              .empty());
    // The server went on after its silence, and its answer had no reader any more.
    CHECK(check_answers_arrive(
              with_attempt(make_attempt(request_kind::stream, attempt_end::closed), {make_run()}), bounds)
              .size() == 1);
}

TEST_CASE("an answer without end excuses a failure and the end of a stream that had begun, nothing else") {
    arrival endless = make_run();
    endless.is_endless = true;
    for (const attempt_end end : {attempt_end::closed, attempt_end::unanswered})
        for (const request_kind kind : {request_kind::once, request_kind::stream, request_kind::again})
            CHECK(check_answers_arrive(with_attempt(make_attempt(kind, end), {endless}), bounds).size() == 1);
    attempt stream = make_attempt(request_kind::stream, attempt_end::closed);
    stream.status = 200;
    CHECK(check_answers_arrive(with_attempt(stream, {endless}), bounds).empty());
    CHECK(check_answers_arrive(with_attempt(stream, {make_run()}), bounds).size() == 1);
    stream.end = attempt_end::unanswered;
    CHECK(check_answers_arrive(with_attempt(stream, {endless}), bounds).size() == 1);
    stream.end = attempt_end::closed;
    stream.kind = request_kind::resumable_stream;
    CHECK(check_answers_arrive(with_attempt(stream, {endless, make_run("s2-1")}), bounds).size() == 1);
    attempt failed = make_attempt(request_kind::once);
    failed.status = 502;
    CHECK(check_failures(with_attempt(failed, {endless})).empty());
    CHECK(check_failures(with_attempt(failed, {make_run()})).size() == 1);
    // Nothing of such an answer may reach its caller as if it were one.
    attempt mixed = make_answer(request_kind::stream, 3);
    mixed.end = attempt_end::closed;
    mixed.body += "x";
    CHECK(check_answers_belong(with_attempt(mixed, {endless})).size() == 1);
}

TEST_CASE("a request is cut at the end of its time, and by a stop only in the last sixth of its grace time") {
    auto seen = with_attempt(make_attempt(request_kind::stream, attempt_end::closed), {make_run()});
    seen.attempts[0].ended_at = at(7'000ms);
    seen.arrivals[0].ended_at = at(7'010ms);
    CHECK(check_answers_arrive(seen, bounds).size() == 1);
    seen.incidents = {make_incident(incident_kind::host_stopping, 0ms, 7'100ms)};
    CHECK(check_answers_arrive(seen, bounds).empty());
    seen.attempts[0].sent_at = at(500ms); // The host knew that it had to stop when it took it.
    CHECK(check_answers_arrive(seen, bounds).size() == 1);
    seen.attempts[0].sent_at = at(0ms);
    seen.arrivals[0].ended_at = at(6'000ms);
    CHECK(check_answers_arrive(seen, bounds).size() == 1);
    seen.incidents.clear();
    seen.attempts[0].ended_at = at(11'900ms);
    CHECK(check_answers_arrive(seen, bounds).empty());
}

TEST_CASE("a failure of the gateway's own before the request's time is over is reported") {
    auto seen = with_attempt(make_attempt(request_kind::again), {make_run()});
    seen.attempts[0].status = 504;
    CHECK(check_failures(seen).size() == 1);
    seen.incidents = {make_incident(incident_kind::host_stopping, 0ms, 2'000ms),
                      make_incident(incident_kind::store_disturbed, 0ms, 2'000ms, 0)};
    CHECK(check_failures(seen).size() == 1);
    seen.incidents = {make_incident(incident_kind::host_lost, 100ms, 200ms)};
    CHECK(check_failures(seen).size() == 1);
    seen.incidents = {make_incident(incident_kind::host_frozen, 100ms, 200ms)};
    CHECK(check_failures(seen).empty());
    seen.incidents = {{incident_kind::server_ended, 0, "s1-1", at(500ms)}};
    CHECK(check_failures(seen).empty());
    seen.incidents.clear();
    seen.arrivals[0].is_broken_off = true;
    CHECK(check_failures(seen).empty());
    seen.arrivals[0].is_broken_off = false;
    seen.attempts[0].seal = "seal.s1-1.a-1"; // The server's own failure.
    CHECK(check_failures(seen).empty());
    seen.attempts[0].seal.clear();
    seen.attempts[0].status = 503;
    CHECK(check_failures(seen).empty());
    seen.attempts[0].status = 504;
    seen.attempts[0].ended_at = at(11'900ms);
    CHECK(check_failures(seen).empty());
}

TEST_CASE("links that fail at any host excuse a failure and a closed connection of that time only") {
    auto closed = with_attempt(make_attempt(request_kind::once, attempt_end::closed), {make_run()});
    auto failed = with_attempt(make_attempt(request_kind::again), {make_run()});
    failed.attempts[0].status = 502;
    for (const int host : {1, 2}) {
        closed.incidents =
            failed.incidents = {make_incident(incident_kind::links_failing, 500ms, 600ms, host)};
        CHECK(check_answers_arrive(closed, bounds).empty());
        CHECK(check_failures(failed).empty());
        closed.incidents =
            failed.incidents = {make_incident(incident_kind::links_failing, -600ms, -500ms, host)};
        CHECK(check_answers_arrive(closed, bounds).size() == 1);
        CHECK(check_failures(failed).size() == 1);
        // The request may have been sent on to a host that is lost.
        for (observations* const seen : {&closed, &failed})
            seen->incidents.push_back(make_incident(incident_kind::host_lost, 500ms, 600ms, 3));
        CHECK(check_answers_arrive(closed, bounds).empty());
        CHECK(check_failures(failed).empty());
    }
}

TEST_CASE("an answer to another request, a wrong body and bytes after an answer are reported") {
    CHECK(check_answers_belong(with_attempt(make_answer(request_kind::once, 0))).empty());
    CHECK(check_answers_belong(with_attempt(make_answer(request_kind::stream, 3))).empty());
    auto seen = with_attempt(make_answer(request_kind::once, 0));
    seen.attempts[0].answered_id = "a-2";
    CHECK(check_answers_belong(seen).size() == 1);
    seen = with_attempt(make_answer(request_kind::once, 0));
    seen.attempts[0].seal = "seal.s1-1.a-2";
    CHECK(check_answers_belong(seen).size() == 1);
    seen = with_attempt(make_answer(request_kind::once, 0));
    seen.attempts[0].seal.clear();
    CHECK(check_answers_belong(seen).size() == 1);
    seen = with_attempt(make_answer(request_kind::once, 0));
    seen.attempts[0].body = "answer of s1-1 to a-2";
    CHECK(check_answers_belong(seen).size() == 1);
    seen = with_attempt(make_answer(request_kind::once, 0));
    seen.attempts[0].extra_bytes = 1;
    CHECK(check_answers_belong(seen).size() == 1);
}

TEST_CASE("a missing, repeated or misplaced event of a stream is reported") {
    const auto event = [](int number) {
        return "id: " + std::to_string(number) + "\ndata: token-" + std::to_string(number) + " to a-1\n\n";
    };
    auto seen = with_attempt(make_answer(request_kind::resumable_stream, 3));
    for (const std::string& body : {event(1) + event(3), event(1) + event(2) + event(2) + event(3),
                                    event(2) + event(1) + event(3), event(1) + event(2)}) {
        seen.attempts[0].body = body;
        CHECK(check_answers_belong(seen).size() == 1);
    }
    // A caller who leaves, and one whose stream breaks, have the beginning of it.
    seen.attempts[0].end = attempt_end::left;
    CHECK(check_answers_belong(seen).empty());
    seen.attempts[0].body = event(1) + event(3);
    CHECK(check_answers_belong(seen).size() == 1);
}

TEST_CASE("events of another version than the first server's, or from the wrong place on, are reported") {
    auto row = make_answer(request_kind::resumable_stream, 4);
    row.events_before = 2;
    row.seal = "seal.d1-1.a-1";
    row.body = "id: 3\ndata: token-3 to a-1@v1\n\nid: 4\ndata: token-4 to a-1@v1\n\n";
    auto seen = with_attempt(row);
    CHECK(check_answers_belong(seen).size() == 1);
    seen.engine_starts = {{.server = "d1-1", .version = "v1", .is_decode = true}};
    CHECK(check_answers_belong(seen).empty());
    seen.attempts[0].events_before = 1;
    CHECK(check_answers_belong(seen).size() == 1);
    seen.attempts[0].events_before = 2;
    seen.engine_starts[0].version = "v2";
    CHECK(check_answers_belong(seen).size() == 1);
}

TEST_CASE("a stream may end with the last server of its version, and not before") {
    auto row = make_attempt(request_kind::resumable_stream, attempt_end::closed);
    row.status = 200;
    row.seal = "seal.d1-1.a-1";
    arrival cut = make_run("d1-1");
    cut.has_ended = false;
    auto seen = with_attempt(row, {cut});
    seen.incidents = {{incident_kind::server_ended, 0, "d1-1", at(900ms)}};
    seen.engine_starts = {
        {.server = "d1-1", .version = "v1", .is_decode = true, .left_at = at(100ms), .ended_at = at(900ms)},
        {.server = "d2-1", .version = "v2", .is_decode = true}};
    CHECK(check_answers_arrive(seen, bounds).empty());
    seen.engine_starts[1].version = "v1";
    CHECK(check_answers_arrive(seen, bounds).size() == 1);
    seen.engine_starts[1].is_decode = false;
    CHECK(check_answers_arrive(seen, bounds).empty());
    seen.incidents.clear();
    CHECK(check_answers_arrive(seen, bounds).size() == 1);
}

TEST_CASE("a second run of what may run once is reported") {
    for (const request_kind kind : {request_kind::once, request_kind::stream}) {
        const auto row = make_attempt(kind);
        CHECK(check_single_runs(with_attempt(row, {make_run(), make_run("s2-1")})).size() == 1);
        arrival refused = make_run("s2-1");
        refused.runs = false;
        CHECK(check_single_runs(with_attempt(row, {make_run(), refused})).empty());
    }
    CHECK(check_single_runs(with_attempt(make_attempt(request_kind::again), {make_run(), make_run("s2-1")}))
              .empty());
}

TEST_CASE("a refused request that ran, also later, is reported") {
    for (const int status : {429, 503, 408, 421}) {
        auto row = make_attempt(request_kind::stream);
        row.status = status;
        arrival later = make_run();
        later.at = at(5'000ms);
        CHECK(check_refusals(with_attempt(row, {later})).size() == 1);
        CHECK(check_refusals(with_attempt(row)).empty());
        row.kind = request_kind::again;
        CHECK(check_refusals(with_attempt(row, {later})).empty());
    }
    auto row = make_attempt(request_kind::once);
    row.status = 502;
    CHECK(check_refusals(with_attempt(row, {make_run()})).empty());
    row.says_not_run = true;
    CHECK(check_refusals(with_attempt(row, {make_run()})).size() == 1);
}

TEST_CASE("settings that come too late are reported for hosts in touch") {
    auto seen = with_versions();
    seen.probes = {make_probe(2, 11'900ms, true), make_probe(3, 11'950ms, false)};
    CHECK(check_settings(seen, bounds).empty());
    seen.probes = {make_probe(2, 12'100ms, true)};
    CHECK(check_settings(seen, bounds).size() == 1);
    seen.probes = {make_probe(3, 12'100ms, false)};
    CHECK(check_settings(seen, bounds).size() == 1);
    seen.incidents = {make_incident(incident_kind::store_disturbed, 4'000ms, 6'000ms, 0)};
    CHECK(check_settings(seen, bounds).empty());
    seen.incidents = {make_incident(incident_kind::host_frozen, 11'000ms, 11'100ms)};
    CHECK(check_settings(seen, bounds).empty());
    seen.incidents = {make_incident(incident_kind::host_frozen, 11'000ms, 11'100ms, 2)};
    CHECK(check_settings(seen, bounds).size() == 1);
}

TEST_CASE("settings that go back are reported even for hosts out of touch, but not for a new process") {
    auto seen = with_versions();
    seen.incidents = {make_incident(incident_kind::store_disturbed, 0ms, 20'000ms, 0)};
    seen.probes = {make_probe(3, 10'100ms, true), make_probe(3, 10'200ms, false)};
    CHECK(check_settings(seen, bounds).empty());
    seen.probes = {make_probe(3, 10'100ms, true), make_probe(3, 10'500ms, false)};
    CHECK(check_settings(seen, bounds).size() == 1);
    seen.probes = {make_probe(3, 10'100ms, true), make_probe(2, 10'500ms, true)};
    CHECK(check_settings(seen, bounds).size() == 1);
    seen.incidents.push_back(make_incident(incident_kind::host_starting, 10'300ms, 10'400ms));
    CHECK(check_settings(seen, bounds).empty());
}

TEST_CASE("a denied request that the settings allow is reported") {
    auto seen = with_versions();
    seen.attempts.push_back(make_attempt(request_kind::again));
    attempt& row = seen.attempts[0];
    row.status = 404;
    CHECK(check_denials(seen, bounds).size() == 1);
    row.status = 413;
    row.request_body_bytes = 60'000;
    CHECK(check_denials(seen, bounds).size() == 1);
    row.request_body_bytes = 100'000;
    CHECK(check_denials(seen, bounds).empty());
    row.sent_at = at(11'000ms);
    row.ended_at = at(11'010ms);
    CHECK(check_denials(seen, bounds).empty());
    row.sent_at = at(12'100ms);
    row.ended_at = at(12'110ms);
    CHECK(check_denials(seen, bounds).size() == 1);
    row.status = 503;
    CHECK(check_denials(seen, bounds).empty());
}

TEST_CASE("runs that go on after their callers left are reported") {
    observations seen;
    for (int number = 0; number < 12; ++number) {
        auto row = make_attempt(request_kind::stream, attempt_end::left);
        row.id = "a-" + std::to_string(number);
        seen.attempts.push_back(row);
        arrival run = make_run();
        run.attempt = row.id;
        run.ended_at = row.ended_at + (number < 4 ? 600ms : 100ms);
        seen.arrivals.push_back(run);
    }
    CHECK(check_callers_who_left(seen, bounds).size() == 1);
    seen.arrivals[0].ended_at = at(1'400ms);
    CHECK(check_callers_who_left(seen, bounds).empty());
    seen.servers_still_at_work = {"d1-1"};
    CHECK(check_callers_who_left(seen, bounds).size() == 1);
}

TEST_CASE("hosts that end by themselves, use too much memory or do not recover are reported") {
    observations seen;
    seen.peak_memory_bytes = {100'000'000};
    seen.exits = {{1, at(0ms), 0, true, false}, {1, at(0ms), -9, false, true}};
    CHECK(check_processes(seen, bounds).empty());
    seen.exits = {{1, at(0ms), 0, false, false}};
    CHECK(check_processes(seen, bounds).size() == 1);
    seen.exits = {{1, at(0ms), -11, true, false}};
    CHECK(check_processes(seen, bounds).size() == 1);
    // By the signal to stop, before the process could take it; afterwards, and without being told to.
    seen.exits = {{1, at(0ms), -15, true, false, false}};
    CHECK(check_processes(seen, bounds).empty());
    seen.exits = {{1, at(0ms), -15, true, false, true}};
    CHECK(check_processes(seen, bounds).size() == 1);
    seen.exits = {{1, at(0ms), -15, false, false, false}};
    CHECK(check_processes(seen, bounds).size() == 1);
    seen.exits.clear();
    seen.peak_memory_bytes = {130'000'000};
    CHECK(check_processes(seen, bounds).size() == 1);
    seen.peak_memory_bytes = {1'000};
    seen.hosts_that_do_not_serve = {2};
    CHECK(check_processes(seen, bounds).size() == 1);
}

TEST_CASE("a request that reaches a leaving server after the bound is reported") {
    auto seen = with_attempt(make_attempt(request_kind::again), {make_run()});
    seen.departures = {{"s1-1", at(-1'900ms)}};
    CHECK(check_departures(seen, bounds).empty());
    seen.departures = {{"s1-1", at(-2'000ms)}};
    CHECK(check_departures(seen, bounds).size() == 1);
    seen.arrivals[0].refused_with = 421;
    CHECK(check_departures(seen, bounds).empty());
    seen.arrivals[0].refused_with = 503;
    CHECK(check_departures(seen, bounds).size() == 1);
    seen.departures = {{"s2-1", at(-9'000ms)}};
    CHECK(check_departures(seen, bounds).empty());
    seen.departures = {{"s1-1", at(-2'000ms)}};
    seen.incidents = {make_incident(incident_kind::host_frozen, -1'000ms, -500ms)};
    CHECK(check_departures(seen, bounds).empty());
}

TEST_CASE("more arrivals beyond the first of each request than the retry budget allows are reported") {
    auto seen = with_attempt(make_attempt(request_kind::resumable_stream));
    const auto add = [&seen](milliseconds time, bool is_prefill, bool is_broken_off) {
        seen.arrivals.push_back({.attempt = "a-1",
                                 .server = "d1-1",
                                 .at = at(time),
                                 .is_prefill = is_prefill,
                                 .has_ended = true,
                                 .is_broken_off = is_broken_off});
    };
    // The first prompt that is read and the first other arrival are free.
    add(0ms, true, false);
    add(10ms, false, true);
    CHECK(check_retry_budget(seen, bounds).empty());
    add(20ms, false, false);
    CHECK(check_retry_budget(seen, bounds).size() == 1);
    seen.retry_slack = 1;
    CHECK(check_retry_budget(seen, bounds).empty());
    // A second prompt, and a prompt that is closed without an answer.
    seen.arrivals.pop_back();
    add(30ms, true, false);
    CHECK(check_retry_budget(seen, bounds).empty());
    add(40ms, true, true);
    CHECK(check_retry_budget(seen, bounds).size() == 1);
    // In another window.
    seen.arrivals.back().at = at(30ms) + bounds.retry_window;
    CHECK(check_retry_budget(seen, bounds).empty());
    // Of a request that no caller sent.
    for (int number = 0; number < 9; ++number) {
        add(50ms, false, false);
        seen.arrivals.back().attempt = "probe";
    }
    CHECK(check_retry_budget(seen, bounds).empty());
}

TEST_CASE("a seed gives the same plan each time, and seeds differ") {
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        const plan_options options{.seed = seed, .hosts = 3, .length = 20'000ms};
        CHECK(make_plan(options) == make_plan(options));
        auto other = options;
        other.seed += 4;
        CHECK_FALSE(make_plan(options) == make_plan(other));
        CHECK_FALSE(make_plan(options).faults.empty());
    }
}

TEST_CASE(
    "only mixes with the servers' faults have answers without end, and the seeds that CI plays have them") {
    const auto has_endless = [](std::uint64_t seed, int seconds) {
        const auto plan = make_plan({.seed = seed, .hosts = 3, .length = 1s * seconds});
        return std::ranges::any_of(
            plan.faults, [](const planned_fault& fault) { return fault.kind == fault_kind::server_endless; });
    };
    int plans_with_endless = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        const auto mix = static_cast<fault_mix>(seed % 4);
        const bool may_have = mix == fault_mix::servers || mix == fault_mix::all;
        const bool has = has_endless(seed, 20);
        CHECK((may_have || !has));
        plans_with_endless += has ? 1 : 0;
    }
    CHECK(plans_with_endless > 50);
    // See test_soak.
    for (const std::uint64_t seed : {7, 17})
        CHECK(has_endless(seed, 12));
}

// Guards against a mix that changes what earlier seeds draw, and against a play without a loss of all hosts.
TEST_CASE("only the mix of releases has releases and losses of all hosts, and each of its plans has a loss") {
    int releases_before_a_loss = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        const auto count = [](const fault_plan& plan, fault_kind kind) {
            return std::ranges::count(plan.faults, kind, &planned_fault::kind);
        };
        plan_options options{.seed = seed, .hosts = 3, .length = 12'000ms};
        const auto own = make_plan(options);
        CHECK(own.mix == static_cast<fault_mix>(seed % 4));
        CHECK(count(own, fault_kind::hosts_all_kill) == 0);
        CHECK(count(own, fault_kind::engines_release) == 0);
        options.mix = fault_mix::releases;
        const auto plan = make_plan(options);
        CHECK(plan == make_plan(options));
        CHECK(count(plan, fault_kind::hosts_all_kill) > 0);
        CHECK_FALSE(plan.has_limited_budget);
        const auto loss = std::ranges::find(plan.faults, fault_kind::hosts_all_kill, &planned_fault::kind);
        releases_before_a_loss += std::any_of(plan.faults.begin(), loss, [&](const planned_fault& fault) {
            return fault.kind == fault_kind::engines_release && loss->at - fault.at <= 4'000ms;
        });
    }
    CHECK(releases_before_a_loss > 100);
}

// Guards against a mix in which the faults that should meet never do.
TEST_CASE(
    "plans of the combined mix have breaks, losses, releases and failing links, those of one host at once") {
    constexpr int seeds = 100;
    std::map<fault_kind, int> plans_with;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto plan =
            make_plan({.seed = seed, .hosts = 3, .length = 12'000ms, .mix = fault_mix::combined});
        CHECK(plan.has_limited_budget);
        std::set<fault_kind> kinds;
        milliseconds links_fail_until{0};
        for (const planned_fault& fault : plan.faults) {
            kinds.insert(fault.kind);
            if (fault.kind != fault_kind::links_fail && fault.kind != fault_kind::answers_cut)
                continue;
            CHECK(fault.at >= links_fail_until);
            links_fail_until = fault.at + fault.lasts;
        }
        for (const fault_kind kind : kinds)
            ++plans_with[kind];
    }
    CHECK(plans_with[fault_kind::hosts_all_kill] == seeds);
    for (const fault_kind kind :
         {fault_kind::engines_release, fault_kind::server_close, fault_kind::server_break,
          fault_kind::links_fail, fault_kind::answers_cut, fault_kind::engines_close})
        CHECK(plans_with[kind] > seeds / 2);
}

TEST_CASE("a plan never has more than half of the hosts away") {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        const auto plan = make_plan({.seed = seed, .hosts = 3, .length = 30'000ms});
        milliseconds away_until{0};
        for (const planned_fault& fault : plan.faults) {
            const bool is_absence = fault.kind == fault_kind::host_stop ||
                                    fault.kind == fault_kind::host_kill ||
                                    fault.kind == fault_kind::host_freeze;
            if (!is_absence)
                continue;
            CHECK(fault.at >= away_until);
            away_until = fault.at + fault.lasts;
        }
    }
}
