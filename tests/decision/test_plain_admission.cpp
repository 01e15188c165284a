// SPDX-License-Identifier: BSD-2-Clause
// Requests to plain upstreams that report their load. Guards against requests that are sent to full upstreams
// and refused there, and against requests that are held although they can't be served.
#include <decision/overload/competing_hosts.h>
#include <decision/overload/plain_admission.h>

#include <catch2/catch.hpp>

#include <set>

using namespace postpaddle;
using decision::plain_action;
using decision::plain_reason;
using decision::plain_response;
using namespace std::chrono_literals;

namespace {

const base::time_point now{1h};
constexpr int slots = 6;
constexpr double usual_seconds = 0.06;

decision::instance_load make_load(int running, int waiting = 0, int percent = 100) {
    return {running, waiting, slots, percent, true};
}

/// Upstreams `0`, `1`, ... with these loads, observed by another host just now.
decision::instance_table make_table(const std::vector<decision::instance_load>& loads) {
    decision::instance_table table;
    for (std::size_t index = 0; index < loads.size(); ++index) {
        decision::instance known;
        known.entry.id.value = std::to_string(index);
        known.entry.service = "service";
        known.entry.slots = slots;
        known.latency = decision::make_estimate(usual_seconds);
        decision::receive_plain_load(known, loads[index], now, now);
        table.by_id[known.entry.id] = known;
    }
    return table;
}

decision::instance& at(decision::instance_table& table, const std::string& id) {
    return *decision::find_instance(table, {id});
}

void limit_queues(decision::instance_table& table, int limit) {
    for (auto& [id, known] : table.by_id)
        known.plain.queue_limit = limit;
}

decision::choice_context make_context(base::time_point time = now) {
    return {.service = "service", .own_zone = {}, .excluded = {}, .now = time};
}

decision::plain_request make_request() { return {.latency_target = 300ms, .time_left = 4s}; }

decision::plain_decision decide(const decision::instance_table& table,
                                const decision::plain_request& request = make_request(),
                                base::time_point time = now, unsigned seed = 1) {
    std::mt19937_64 random(seed);
    return decision::decide_plain(table, make_context(time), request, random);
}

} // namespace

TEST_CASE("in a burst no request is sent to a full upstream, and what can't be in time is refused") {
    auto table = make_table({make_load(6, 6), make_load(6, 6)});
    limit_queues(table, 6);
    // Both queues are full: an end is due each 10 ms, but the answer would take 120 ms from then on.
    const auto waiting = decide(table);
    CHECK(waiting.action == plain_action::wait);
    CHECK(waiting.reason == plain_reason::wait_in_time);
    CHECK(waiting.expected_wait == 10ms);
    auto request = make_request();
    request.waited = 150ms;
    request.ahead = 20;
    const auto refused = decide(table, request);
    CHECK(refused.action == plain_action::refuse);
    CHECK(refused.reason == plain_reason::not_in_time);
    CHECK_FALSE(refused.upstream);
    // Free capacity at one of them is used at once.
    at(table, "1").plain.load.waiting = 5;
    CHECK(decide(table).upstream->value == "1");
}

TEST_CASE("decisions on random loads are work-conserving, never use a full upstream and refuse no late "
          "caller early") {
    std::mt19937_64 random(7);
    const auto draw = [&random](int most) { return std::uniform_int_distribution(0, most)(random); };
    for (int round = 0; round < 5'000; ++round) {
        CAPTURE(round);
        auto table = make_table({make_load(draw(6), draw(12), 50 + draw(250)),
                                 make_load(draw(6), draw(12), 50 + draw(250)), make_load(6, draw(12))});
        limit_queues(table, draw(8));
        decision::plain_request request = make_request();
        request.waited = std::chrono::milliseconds(draw(600));
        request.may_be_late = draw(1) == 1;
        request.ahead = draw(10);
        const auto decision = decision::decide_plain(table, make_context(), request, random);
        const auto is_full = [](const decision::instance& known) {
            return decision::plain_requests(known, now) >= slots + *known.plain.queue_limit;
        };
        if (decision.upstream)
            REQUIRE_FALSE(is_full(at(table, decision.upstream->value)));
        REQUIRE(decision.upstream.has_value() == (decision.action == plain_action::send));
        if (decision.free_slots > 0)
            REQUIRE(decision.action == plain_action::send);
        if (request.may_be_late)
            REQUIRE(decision.action != plain_action::refuse);
        if (decision.reason == plain_reason::wait_in_time)
            REQUIRE(request.waited + decision.expected_wait <= 240ms);
    }
}

TEST_CASE("a slow upstream gets requests only while they are in time there") {
    // 250 ms at the slow one, 100 ms at the other; up to 240 ms are in time.
    auto table = make_table({make_load(6, 3, 250), make_load(6, 3)});
    for (unsigned seed = 0; seed < 50; ++seed)
        CHECK(decide(table, make_request(), now, seed).upstream->value == "1");
    // A free slot at a slow upstream is used if there is nothing better.
    table = make_table({make_load(5, 0, 500), make_load(30)});
    const auto late = decide(table);
    CHECK(late.reason == plain_reason::free_slot);
    CHECK(late.upstream->value == "0");
}

TEST_CASE("hosts with the same view spread over the upstreams, most to those with most free slots") {
    const auto table = make_table({make_load(5), make_load(3), make_load(0)});
    std::map<std::string, int> chosen;
    for (unsigned seed = 0; seed < 600; ++seed)
        ++chosen[decide(table, make_request(), now, seed).upstream->value];
    CHECK(chosen["0"] > 0);
    CHECK(chosen["1"] > chosen["0"]);
    CHECK(chosen["2"] > chosen["1"]);
    CHECK(chosen["2"] < 500);
}

TEST_CASE("a load is corrected by the requests that this host has sent and finished since") {
    auto table = make_table({make_load(4)});
    decision::instance& known = at(table, "0");
    for (int sent = 0; sent < 2; ++sent)
        decision::record_plain_start(known, now + 1ms);
    CHECK(decision::plain_requests(known, now + 2ms) == 6);
    decision::record_plain_end(known, now + 3ms);
    CHECK(decision::plain_requests(known, now + 4ms) == 5);
    // A newer report of another host contains them.
    decision::receive_plain_load(known, make_load(2), now + 10ms, now + 12ms);
    CHECK(decision::plain_requests(known, now + 13ms) == 2);
    // Late and reordered reports change nothing.
    decision::receive_plain_load(known, make_load(6), now + 5ms, now + 14ms);
    CHECK(decision::plain_requests(known, now + 15ms) == 2);
}

TEST_CASE("of two hosts with opposite views, the one that is wrong sends one request too many") {
    auto full = make_table({make_load(6)});
    auto idle = make_table({make_load(0)});
    limit_queues(full, 0);
    CHECK(decide(full).action != plain_action::send);
    CHECK(decide(idle).action == plain_action::send);
    // The refusal carries the load and shows that the upstream queues nothing.
    decision::record_plain_load(at(idle, "0"), make_load(6), plain_response::refused, now + 1ms);
    CHECK(decide(idle, make_request(), now + 1ms).action == plain_action::wait);
    // The other host's view is right again with the next report.
    decision::receive_plain_load(at(full, "0"), make_load(5), now + 5ms, now + 6ms);
    CHECK(decide(full, make_request(), now + 6ms).action == plain_action::send);
}

TEST_CASE("what an upstream queues is learned from refusals, and more from answers") {
    auto table = make_table({make_load(6, 4)});
    decision::instance& known = at(table, "0");
    CHECK_FALSE(known.plain.queue_limit);
    // A refusal despite free slots is no sign of a full upstream.
    decision::record_plain_load(known, make_load(3), plain_response::refused, now);
    CHECK_FALSE(known.plain.queue_limit);
    decision::record_plain_load(known, make_load(6, 4), plain_response::refused, now);
    CHECK(known.plain.queue_limit == 4);
    decision::record_plain_load(known, make_load(6, 6), plain_response::executed, now);
    CHECK(known.plain.queue_limit == 6);
    // Another host may have seen a longer queue.
    decision::receive_plain_load(known, make_load(6, 8), now + 1ms, now + 2ms);
    CHECK(known.plain.queue_limit == 8);
}

TEST_CASE("a new upstream is assumed to be like the others of its service") {
    // One has been measured and has refused requests; of the other only the load is known.
    auto table = make_table({make_load(6, 2), make_load(6, 2)});
    decision::add_sample(at(table, "0").latency, 0.05);
    at(table, "0").plain.queue_limit = 2;
    at(table, "1").latency = decision::make_estimate(0.4);
    const auto waiting = decide(table);
    CHECK(waiting.action == plain_action::wait);
    CHECK(waiting.expected_time < 60ms);
}

TEST_CASE("an answered request occupies no slot, whether or not reports include it") {
    auto table = make_table({make_load(0)});
    decision::instance& known = at(table, "0");
    decision::record_plain_load(known, make_load(6), plain_response::executed, now);
    CHECK(decision::plain_requests(known, now) == 5);
    decision::record_plain_load(known, make_load(0), plain_response::executed, now);
    decision::record_plain_load(known, make_load(6), plain_response::executed, now);
    CHECK(decision::plain_requests(known, now) == 6);
}

TEST_CASE("a host that hears nothing, or has just started, chooses without loads") {
    auto table = make_table({make_load(6, 20), make_load(6, 20)});
    CHECK(decide(table, make_request(), now + 499ms).action != plain_action::choose_without_load);
    CHECK(decide(table, make_request(), now + 500ms).action == plain_action::choose_without_load);
    CHECK(decide(table, make_request(), now + 2s).action == plain_action::choose_without_load);
    // One response to this host is enough.
    decision::record_plain_load(at(table, "0"), make_load(2), plain_response::executed, now + 2s);
    CHECK(decide(table, make_request(), now + 2s).action == plain_action::send);
    CHECK(decision::plain_load_to_report(at(table, "0"), 250ms, now + 2s)->running == 1);
    CHECK_FALSE(decision::plain_load_to_report(at(table, "1"), 250ms, now + 2s));
    CHECK_FALSE(decision::plain_load_to_report(at(table, "0"), 250ms, now + 3s));
}

TEST_CASE("after a sudden loss of upstreams, requests wait for the others or are refused at once") {
    auto table = make_table({make_load(1), make_load(6), make_load(1)});
    limit_queues(table, 0);
    at(table, "0").state = decision::listing::leaving;
    at(table, "2").health.ejected_until = now + 1s;
    const auto waiting = decide(table);
    CHECK(waiting.action == plain_action::wait);
    CHECK(waiting.upstreams == 1);
    auto request = make_request();
    request.ahead = 30;
    CHECK(decide(table, request).action == plain_action::refuse);
    // None is left: the caller of this function finds none without loads either.
    at(table, "1").state = decision::listing::vanished;
    CHECK(decide(table).action == plain_action::choose_without_load);
}

TEST_CASE("a caller that returns is not refused for lateness, but once its time does not suffice") {
    auto table = make_table({make_load(6, 6)});
    limit_queues(table, 6);
    auto request = make_request();
    request.waited = 500ms;
    request.may_be_late = true;
    const auto waiting = decide(table, request);
    CHECK(waiting.reason == plain_reason::wait_late);
    // Seven ends until a slot is free, and the request itself takes 60 ms.
    CHECK(waiting.expected_wait == 70ms);
    request.time_left = 131ms;
    CHECK(decide(table, request).action == plain_action::wait);
    request.time_left = 129ms;
    CHECK(decide(table, request).reason == plain_reason::not_before_end);
    // A host that is shutting down holds no late requests.
    request.time_left = 4s;
    request.may_wait_late = false;
    CHECK(decide(table, request).reason == plain_reason::not_late);
    request.may_wait_late = true;
    request.ahead = decision::max_plain_waiting;
    CHECK(decide(table, request).reason == plain_reason::queue_full);
}

TEST_CASE("waiting requests that can be in time go first, then the most urgent, then the oldest") {
    const decision::queue_position early = {
        .since = now - 50ms, .in_time_until = now + 1s, .latency_target = 300ms, .rank = 2};
    auto later = early;
    later.since = now - 10ms;
    CHECK(decision::is_ahead(early, later, now));
    later.rank = 1;
    CHECK(decision::is_ahead(later, early, now));
    auto late = early;
    late.since = now - 2s;
    late.in_time_until = now - 1s;
    CHECK(decision::is_ahead(early, late, now));
    // A request is not overtaken by more urgent ones for ever.
    auto newer = late;
    newer.since = now;
    newer.rank = 0;
    CHECK(decision::is_ahead(late, newer, now));
}

TEST_CASE("a host with more than its share of the slots leaves some of them to the others") {
    auto table = make_table({make_load(6), make_load(6)});
    CHECK(decision::replacement_probability(table, "service", 3) == 1);
    const auto send_four = [&table](const std::string& id) {
        for (int sent = 0; sent < 4; ++sent)
            decision::record_plain_start(at(table, id), now);
    };
    send_four("0");
    CHECK(decision::replacement_probability(table, "service", 3) == 1);
    send_four("1");
    CHECK(decision::replacement_probability(table, "service", 3) == 0.5);
    // Slots are scarce while fewer requests can be sent than hosts have some waiting.
    auto request = make_request();
    request.competing_hosts = 65;
    CHECK(decide(table, request).is_scarce);
    request.competing_hosts = 2;
    CHECK_FALSE(decide(table, request).is_scarce);
}

TEST_CASE("refused callers return spread over time, with time left to be served") {
    auto table = make_table({make_load(6, 36)});
    limit_queues(table, 36);
    std::mt19937_64 random(3);
    auto request = make_request();
    const auto refused = decide(table, request);
    REQUIRE(refused.action == plain_action::refuse);
    std::set<base::duration> delays;
    for (int caller = 0; caller < 100; ++caller) {
        const auto delay = decision::plain_retry_delay(refused, request, random);
        CHECK(delay >= refused.expected_capacity);
        CHECK(delay <= 2 * std::max<base::duration>(refused.expected_capacity, 150ms));
        delays.insert(delay);
    }
    CHECK(*delays.rbegin() - *delays.begin() > refused.expected_capacity / 2);
    request.time_left = 300ms;
    CHECK(decision::plain_retry_delay(refused, request, random) <= 100ms);
}

TEST_CASE("upstreams that do not all report four figures are chosen as before") {
    auto table = make_table({make_load(1), make_load(1)});
    CHECK(decision::is_admitted_by_load(table, "service"));
    CHECK_FALSE(decision::is_admitted_by_load(table, "another"));
    // A new upstream that has not answered yet does not end the mechanism.
    at(table, "1").plain = {};
    CHECK(decision::is_admitted_by_load(table, "service"));
    decision::record_plain_load(at(table, "1"), {1, 0, slots}, plain_response::executed, now);
    CHECK_FALSE(decision::is_admitted_by_load(table, "service"));
    at(table, "1").state = decision::listing::vanished;
    CHECK(decision::is_admitted_by_load(table, "service"));
}

TEST_CASE("invalid loads are bounded") {
    for (const decision::instance_load& load : {decision::instance_load{-5, -5, -5, -5, true},
                                                {2'000'000'000, 2'000'000'000, 0, 2'000'000'000, true},
                                                {0, 0, 2'000'000'000, 1, true}}) {
        auto table = make_table({load});
        const auto decision = decide(table);
        CHECK(decision.upstreams == 1);
        CHECK(decision.expected_wait >= 0ms);
        CHECK(decision::plain_requests(at(table, "0"), now) >= 0);
    }
}

TEST_CASE("no plain request is held for capacity that comes after its caller's time is up") {
    // The latency target is longer than the time that is left: the answer would take 670 ms.
    auto table = make_table({make_load(6, 60)});
    limit_queues(table, 60);
    auto request = make_request();
    request.latency_target = 10s;
    CHECK(decide(table, request).reason == plain_reason::wait_in_time);
    request.time_left = 500ms;
    CHECK(decide(table, request).reason == plain_reason::not_in_time);
    request.waited = 3s;
    CHECK(decide(table, request).reason == plain_reason::not_in_time);
}

TEST_CASE("plain requests whose answer is being forwarded to slow callers occupy no slot") {
    auto table = make_table({make_load(2), make_load(2)});
    decision::instance& known = at(table, "0");
    known.own.requests = 12;
    CHECK(decision::plain_requests(known, now) == 2);
    CHECK(decision::replacement_probability(table, "service", 3) == 1);
    for (int sent = 0; sent < 4; ++sent)
        decision::record_plain_start(known, now - 1ms);
    CHECK(decision::plain_requests(known, now) == 4);
    for (int ended = 0; ended < 4; ++ended)
        decision::record_plain_end(known, now - 1ms);
    CHECK(decision::plain_requests(known, now) == 2);
}

TEST_CASE("a plain request without known load does not overtake waiting ones") {
    const auto last = decision::last_position(now);
    const decision::queue_position in_time = {
        .since = now - 50ms, .in_time_until = now + 100ms, .latency_target = 300ms, .rank = 2};
    const decision::queue_position late = {
        .since = now - 1s, .in_time_until = now - 700ms, .latency_target = 300ms, .rank = 15};
    for (const auto& waiting : {in_time, late}) {
        CHECK(decision::is_ahead(waiting, last, now));
        CHECK_FALSE(decision::is_ahead(last, waiting, now));
    }
    // Those without known load keep the order of arrival.
    CHECK(decision::is_ahead(last, decision::last_position(now + 1ms), now + 2s));
    CHECK_FALSE(decision::is_ahead(decision::last_position(now + 1ms), last, now + 2s));
}

TEST_CASE("a repeatable plain request that an upstream has had is not refused for lateness") {
    CHECK_FALSE(decision::may_be_late({}, false));
    CHECK(decision::may_be_late({}, true));
    CHECK(decision::may_be_late({.is_repeatable = true, .attempts = 1}, false));
    CHECK(decision::may_be_late({.is_repeatable = true, .refusals = 1}, false));
}

TEST_CASE("a plain upstream that has just started is not sent a whole burst by each host") {
    auto table = make_table({make_load(3), make_load(3), make_load(0)});
    decision::instance& started = at(table, "2");
    started.plain = {};
    auto request = make_request();
    request.competing_hosts = 3;
    // Each of three hosts sends it its share of the six slots until it has answered.
    const auto sends_to_it = [&] {
        int count = 0;
        for (unsigned seed = 0; seed < 200; ++seed)
            count += decide(table, request, now, seed).upstream->value == "2" ? 1 : 0;
        return count;
    };
    const int first = sends_to_it();
    CHECK(first > 0);
    CHECK(first < 100);
    decision::record_plain_start(started, now);
    CHECK(sends_to_it() > 0);
    decision::record_plain_start(started, now);
    CHECK(sends_to_it() == 0);
    decision::record_plain_load(started, make_load(1), plain_response::executed, now);
    CHECK(sends_to_it() > 0);
    // With more hosts than slots, each sends it one.
    started.plain = {};
    request.competing_hosts = 65;
    CHECK(sends_to_it() > 0);
    decision::record_plain_start(started, now);
    CHECK(sends_to_it() == 0);
}

TEST_CASE("refusals of plain requests for other reasons than load do not shorten the known queue") {
    auto table = make_table({make_load(6, 6)});
    decision::instance& known = at(table, "0");
    decision::record_plain_load(known, make_load(6), plain_response::declined, now);
    CHECK_FALSE(known.plain.queue_limit);
    decision::record_plain_load(known, make_load(6, 4), plain_response::refused, now);
    decision::record_plain_load(known, make_load(6), plain_response::declined, now + 1s);
    CHECK(known.plain.queue_limit == 4);
    // One that was learned too low is corrected.
    decision::record_plain_load(known, make_load(6), plain_response::executed, now + 4s);
    CHECK(known.plain.queue_limit == 4);
    decision::record_plain_load(known, make_load(6), plain_response::executed, now + 6s);
    decision::record_plain_load(known, make_load(6), plain_response::executed, now + 6s);
    CHECK(known.plain.queue_limit == 5);
}

TEST_CASE("in a long overload of plain upstreams, refused callers return later") {
    const auto table = make_table({make_load(6, 6)});
    std::mt19937_64 random(3);
    auto request = make_request();
    request.time_left = 12s;
    request.busy_for = 4s;
    const auto delay = decision::plain_retry_delay(decide(table, request), request, random);
    CHECK(delay >= 2s);
    CHECK(delay <= 4s);
}

TEST_CASE("a plain upstream's load is not replaced by another host's older one") {
    auto table = make_table({make_load(0)});
    decision::instance& known = at(table, "0");
    decision::receive_plain_load(known, make_load(6), now + 10ms, now + 11ms, {"one"});
    decision::receive_plain_load(known, make_load(2), now + 9ms, now + 12ms, {"two"});
    CHECK(decision::plain_requests(known, now + 13ms) == 6);
    // The same host's second report of a response may seem slightly older.
    decision::receive_plain_load(known, make_load(5), now + 9ms, now + 14ms, {"one"});
    CHECK(decision::plain_requests(known, now + 15ms) == 5);
}

// Guards against a host that takes too many or too few slots because it miscounts the hosts in a burst.
TEST_CASE("hosts that compete for plain upstreams are counted up to the end of their latest report") {
    std::mt19937_64 random(5);
    const auto draw = [&random](int most) { return std::uniform_int_distribution(0, most)(random); };
    decision::competing_hosts counted;
    std::map<base::host_id, base::time_point> latest;
    base::time_point time = now;
    for (int step = 0; step < 5'000; ++step) {
        CAPTURE(step);
        time += std::chrono::milliseconds(draw(10));
        const base::host_id host = {std::to_string(draw(90))};
        latest[host] = draw(3) == 0 ? time : time + 250ms;
        if (latest[host] == time)
            decision::remove_competing_host(counted, host);
        else
            decision::record_competing_host(counted, host, latest[host]);
        if (draw(1) == 0)
            continue;
        const auto expected =
            std::ranges::count_if(latest, [time](const auto& known) { return time < known.second; });
        REQUIRE(decision::count_competing_hosts(counted, time) == expected);
    }
    CHECK(decision::count_competing_hosts(counted, time + 250ms) == 0);
    CHECK(counted.until.empty());
}

// Guards against requests that are held although too many are ahead of them.
TEST_CASE("a decision on a plain request that counts the queue itself is the same as with that number") {
    std::mt19937_64 random(11);
    const auto draw = [&random](int most) { return std::uniform_int_distribution(0, most)(random); };
    for (unsigned round = 0; round < 1'000; ++round) {
        CAPTURE(round);
        auto table = make_table({make_load(draw(6), draw(12)), make_load(6, draw(12), 50 + draw(250))});
        limit_queues(table, draw(8));
        decision::plain_request request = make_request();
        request.waited = std::chrono::milliseconds(draw(600));
        request.ahead = draw(decision::max_plain_waiting);
        const auto expected = decide(table, request, now, round);
        std::mt19937_64 same(round);
        std::optional<base::duration> in_time;
        const auto count = [&](base::duration given) {
            in_time = given;
            return request.ahead;
        };
        auto uncounted = request;
        uncounted.ahead = 0;
        const auto decision = decision::decide_plain(table, decision::members_of(table, "service"),
                                                     make_context(), uncounted, same, count);
        REQUIRE(decision == expected);
        REQUIRE(in_time == decision.in_time);
    }
}
