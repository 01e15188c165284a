// SPDX-License-Identifier: BSD-2-Clause
// Each checker of streams that are taken up reports made-up observations that break its promise, and none
// that keep it. Guards against a soak that is green because a checker sees nothing.
#include <soak/stream_checkers.h>

#include <catch2/catch.hpp>

using namespace postpaddle;
using namespace postpaddle::soak;
using namespace std::chrono_literals;

namespace {

const promised_bounds bounds;

time_point at(milliseconds time) { return time_point(1h) + time; }

std::string events(int first, int last, const std::string& version) {
    std::string text;
    for (int event = first; event <= last; ++event)
        text += "id: " + std::to_string(event) + "\ndata: token-" + std::to_string(event) + " to x@" +
                version + "\n\n";
    return text;
}

attempt make_part(const std::string& stream, int number, milliseconds sent, int before,
                  const std::string& body) {
    attempt row;
    row.id = stream + "-" + std::to_string(number);
    row.stream = stream + "-1";
    row.host = 1;
    row.kind = request_kind::resumable_stream;
    row.sent_at = at(sent);
    row.ended_at = at(sent + 500ms);
    row.deadline = 12'000ms;
    row.status = body.empty() ? 503 : 200;
    row.says_not_run = body.empty();
    row.events = 6;
    row.events_before = before;
    row.body = body;
    row.names_attempt = true;
    return row;
}

engine_start make_engine(const std::string& server, const std::string& version) {
    return {.server = server, .version = version, .is_decode = true, .registered_at = at(-10'000ms)};
}

/// A stream of version v1 that is taken up at 2 s; the engines serve all the time.
observations with_parts(const std::string& first, const std::string& second) {
    observations seen;
    seen.attempts = {make_part("a", 1, 0ms, 0, first), make_part("a", 2, 2'000ms, 3, second)};
    seen.engine_starts = {make_engine("d1-1", "v1"), make_engine("d2-1", "v2")};
    return seen;
}

/// Such streams, cut by a loss of all hosts at 1 s; host 1 is ready again at 1.8 s.
observations with_loss(int went_on, int refused) {
    observations seen;
    for (int number = 0; number < went_on + refused; ++number) {
        const std::string name = "s" + std::to_string(number);
        seen.attempts.push_back(make_part(name, 1, 800ms, 0, events(1, 3, "v1")));
        seen.attempts.push_back(
            make_part(name, 2, 2'000ms, 3, number < went_on ? events(4, 6, "v1") : std::string()));
    }
    seen.engine_starts = {make_engine("d1-1", "v1"), make_engine("d2-1", "v2")};
    seen.losses_of_all_hosts = {at(1'000ms)};
    seen.incidents = {{incident_kind::host_lost, 1, "", at(1'000ms), at(1'200ms)},
                      {incident_kind::host_starting, 1, "", at(1'200ms), at(1'800ms)}};
    return seen;
}

} // namespace

TEST_CASE("a stream with events of two versions is reported, within an attempt and over two") {
    CHECK(check_one_version(with_parts(events(1, 3, "v1"), events(4, 6, "v1"))).empty());
    CHECK(check_one_version(with_parts(events(1, 3, "v1"), events(4, 6, "v2"))).size() == 1);
    CHECK(check_one_version(with_parts(events(1, 2, "v1") + events(3, 3, "v2"), "")).size() == 1);
}

TEST_CASE("a take-up that runs at another version is reported although no event of it arrived") {
    auto seen = with_parts(events(1, 3, "v1"), "");
    seen.arrivals = {{.attempt = "a-2", .server = "d1-1", .at = at(2'100ms), .runs = true}};
    CHECK(check_one_version(seen).empty());
    seen.arrivals[0].server = "d2-1";
    CHECK(check_one_version(seen).size() == 1);
    // What runs before the first event is no take-up.
    seen.arrivals[0].attempt = "a-1";
    CHECK(check_one_version(seen).empty());
}

TEST_CASE("a gap and a repetition between two attempts of a stream are reported") {
    CHECK(check_event_order(with_parts(events(1, 3, "v1"), events(4, 6, "v1"))).empty());
    CHECK(check_event_order(with_parts(events(1, 3, "v1"), events(5, 6, "v1"))).size() == 1);
    CHECK(check_event_order(with_parts(events(1, 3, "v1"), events(3, 6, "v1"))).size() == 1);
    CHECK(check_event_order(with_parts(events(1, 1, "v1") + events(3, 3, "v1"), "")).size() == 1);
}

TEST_CASE("more than one in ten refused take-ups after a loss of all hosts are reported") {
    CHECK(check_take_ups_after_losses(with_loss(18, 2), bounds).empty());
    CHECK(check_take_ups_after_losses(with_loss(17, 3), bounds).size() == 1);
    CHECK(check_take_ups_after_losses(with_loss(0, 2), bounds).size() == 1);
    const auto counts = count_take_ups_after_losses(with_loss(17, 3), bounds);
    CHECK(counts.named.counted == 20);
    CHECK(counts.named.went_on == 17);
    CHECK(counts.unnamed.counted == 0);
}

TEST_CASE("with one version in service a single refused take-up after a loss of all hosts is reported") {
    auto seen = with_loss(20, 1);
    CHECK(check_take_ups_after_losses(seen, bounds).empty());
    seen.engine_starts.pop_back();
    CHECK(check_take_ups_after_losses(seen, bounds).size() == 1);
    CHECK(check_take_ups_after_losses(with_loss(20, 0), bounds).empty());
}

TEST_CASE("a take-up counts only if its host, the store and its version were there") {
    const auto counted = [](const observations& seen) {
        return count_take_ups_after_losses(seen, bounds).named.counted;
    };
    CHECK(counted(with_loss(0, 3)) == 3);
    auto seen = with_loss(0, 3);
    seen.losses_of_all_hosts.clear();
    CHECK(counted(seen) == 0);
    seen = with_loss(0, 3);
    seen.incidents[1].to = at(2'001ms);
    CHECK(counted(seen) == 0);
    seen = with_loss(0, 3);
    seen.incidents.push_back({incident_kind::store_away, 0, "", at(900ms), at(1'500ms)});
    CHECK(counted(seen) == 0);
    seen.incidents.back().kind = incident_kind::store_disturbed;
    CHECK(counted(seen) == 3);
    seen.incidents.back() = {incident_kind::host_frozen, 1, "", at(2'100ms), at(2'200ms)};
    CHECK(counted(seen) == 0);
    seen.incidents.back().host = 2;
    CHECK(counted(seen) == 3);
    seen.engine_starts[0].left_at = at(2'100ms);
    CHECK(counted(seen) == 0);
    seen = with_loss(0, 3);
    seen.attempts[1].names_attempt = false;
    CHECK(counted(seen) == 2);
    CHECK(count_take_ups_after_losses(seen, bounds).unnamed.counted == 1);
}

TEST_CASE("a take-up that no loss of all hosts separates from its beginning counts for itself") {
    auto seen = with_parts(events(1, 3, "v1"), "");
    CHECK(count_take_ups_without_loss(seen, bounds).named.counted == 1);
    CHECK(count_take_ups_without_loss(seen, bounds).named.went_on == 0);
    CHECK(count_take_ups_after_losses(seen, bounds).named.counted == 0);
    seen.attempts[1].names_attempt = false;
    CHECK(count_take_ups_without_loss(seen, bounds).unnamed.counted == 1);
    seen.attempts[1].has_alike_body = true;
    CHECK(count_take_ups_without_loss(seen, bounds).unnamed_alike.counted == 1);
    seen.losses_of_all_hosts = {at(1'000ms)};
    CHECK(count_take_ups_without_loss(seen, bounds).unnamed_alike.counted == 0);
}

TEST_CASE("a take-up whose version has gone is reported if it runs or is not refused") {
    auto seen = with_parts(events(1, 3, "v1"), "");
    seen.engine_starts[0].ended_at = at(1'500ms);
    CHECK(check_gone_versions(seen).empty());
    seen.arrivals = {{.attempt = "a-2", .server = "d2-1", .at = at(2'100ms), .runs = true}};
    CHECK(check_gone_versions(seen).size() == 1);
    seen.engine_starts[0].ended_at = at(2'500ms);
    CHECK(check_gone_versions(seen).empty());
    seen = with_parts(events(1, 3, "v1"), events(4, 6, "v1"));
    CHECK(check_gone_versions(seen).empty());
    seen.engine_starts[0].ended_at = at(1'500ms);
    CHECK(check_gone_versions(seen).size() == 1);
    seen.attempts[1].status = 502;
    CHECK(check_gone_versions(seen).size() == 1);
}
