// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/operations/gateway_metrics.h>
#include <gateway/upstreams/stall_monitor.h>
#include <support/manual_clock.h>

#include <catch2/catch.hpp>

#include <map>
#include <set>
#include <stdexcept>
#include <vector>

using namespace postpaddle;
using namespace std::chrono_literals;

namespace {

constexpr base::duration limit = 1'200ms;

/// A send that is watched, and whether its upstream shows signs of life.
struct watched_send {
    watched_send() {
        this->state.clock = &this->clock;
        this->state.metrics = &this->metrics;
        this->request.state = &this->state;
        this->request.deadline = this->clock.now() + 14s;
    }

    gateway::stall_monitor watch(std::function<bool()> try_claim_next) {
        return {this->request,
                {.heard_at = [this] { return this->heard_at; },
                 .request_sign_of_life = [this] { ++this->probes; },
                 .history = [] { return nullptr; }},
                {.limits = {.limit = limit,
                            .takeover_limit = 3s,
                            .ending = decision::ending_alone::broken_answer},
                 .try_claim_next = std::move(try_claim_next)}};
    }

    /// The same with other upstreams, each of which answers at once where that is set.
    gateway::stall_monitor watch_with_others(std::function<bool()> try_claim_next) {
        return {this->request,
                {.heard_at = [this] { return this->heard_at; },
                 .request_sign_of_life = [this] { ++this->probes; },
                 .history = [] { return nullptr; },
                 .others = [this] { return this->others; },
                 .other_heard_at =
                     [this](const base::upstream_id& id) { return this->others_heard_at[id.value]; },
                 .request_sign_of_other =
                     [this](const base::upstream_id& id) {
                         ++this->probes_of_others;
                         if (this->answering.contains(id.value))
                             this->others_heard_at[id.value] = this->clock.now();
                     }},
                {.limits = {.limit = limit,
                            .takeover_limit = 3s,
                            .ending = decision::ending_alone::broken_answer},
                 .try_claim_next = std::move(try_claim_next)}};
    }

    /// Looks each time that the monitor asks for it, until that time after the start of the silence. Returns
    /// when it gave the send up.
    std::optional<base::duration> look_until(gateway::stall_monitor& monitor, base::duration until) {
        const base::time_point silent_since = this->clock.now();
        for (auto next = std::optional(monitor.did_progress()); *next <= silent_since + until;) {
            this->clock.advance(*next - this->clock.now());
            next = monitor.look();
            if (!next)
                return this->clock.now() - silent_since;
        }
        return std::nullopt;
    }

    test::manual_clock clock;
    gateway::gateway_metrics metrics;
    gateway::gateway_state state;
    gateway::gateway_request request;
    base::time_point heard_at{};
    int probes = 0;
    std::vector<base::upstream_id> others = {{"two"}, {"three"}};
    std::set<std::string> answering;
    std::map<std::string, base::time_point> others_heard_at;
    int probes_of_others = 0;
};

} // namespace

// Guards against a host that was held up, by a large document or its share of a processor, and gives up sound
// runs before it has read what arrived meanwhile.
TEST_CASE("a look that comes late is postponed until what has arrived can be read") {
    watched_send send;
    int claims = 0;
    auto monitor = send.watch([&claims] {
        ++claims;
        return true;
    });
    (void)monitor.did_progress();
    send.clock.advance(3s);
    const auto next = monitor.look();
    REQUIRE(next);
    CHECK(claims == 0);
    CHECK(send.probes == 1);
    SECTION("an answer to the probe has arrived") {
        send.clock.advance(*next - send.clock.now());
        send.heard_at = send.clock.now();
        CHECK(claims == 0);
    }
    SECTION("nothing has arrived") {
        send.clock.advance(*next - send.clock.now());
        CHECK_FALSE(monitor.look());
        CHECK(claims == 1);
    }
}

// Guards against a host that is always late and keeps runs at dead upstreams.
TEST_CASE("a look is postponed only once for each silence") {
    watched_send send;
    auto monitor = send.watch([] { return true; });
    (void)monitor.did_progress();
    send.clock.advance(2s);
    REQUIRE(monitor.look());
    send.clock.advance(2s);
    CHECK_FALSE(monitor.look());
}

// Guards against signs of life that lapse although the upstream answers each time it is asked.
TEST_CASE("an upstream that answers each time it is asked is not given up") {
    watched_send send;
    // Each answer comes within the longest time between two looks.
    static constexpr base::duration answer_time = 250ms;
    const base::time_point silent_since = send.clock.now();
    auto monitor = send.watch([] { return true; });
    send.clock.advance(monitor.did_progress() - send.clock.now());
    base::time_point asked_at{};
    while (send.clock.now() - silent_since < 2'900ms) {
        const int probes_before = send.probes;
        const auto next = monitor.look();
        REQUIRE(next);
        // An upstream is asked once at a time.
        const bool is_answered = send.heard_at >= asked_at;
        if (send.probes > probes_before && is_answered)
            asked_at = send.clock.now();
        send.clock.advance(*next - send.clock.now());
        if (send.heard_at < asked_at && send.clock.now() >= asked_at + answer_time)
            send.heard_at = asked_at + answer_time;
    }
    CHECK(send.probes > 2);
}

// Guards against an error in a look that ends the process, and with it all other requests.
TEST_CASE("an exception while another attempt is claimed keeps the one in progress") {
    watched_send send;
    auto monitor = send.watch([]() -> bool { throw std::runtime_error("a defect"); });
    send.clock.advance(monitor.did_progress() - send.clock.now());
    const auto next = monitor.look();
    REQUIRE(next);
    send.clock.advance(*next - send.clock.now());
    CHECK(monitor.look());
    CHECK(send.metrics.counters_with("look_exceptions_total").at("look_exceptions_total") == 1);
    send.clock.advance(14s);
    CHECK_FALSE(monitor.look());
}

// Guards against giving up a run for one at an upstream that stands still as well.
TEST_CASE("a send is kept as long as all other upstreams are silent with it") {
    watched_send send;
    send.others_heard_at = {{"two", send.clock.now() + 30ms}, {"three", send.clock.now() - 30ms}};
    auto monitor = send.watch_with_others([] { return true; });
    SECTION("also beyond the time at which another one would come too late") {
        CHECK_FALSE(send.look_until(monitor, 10s));
    }
    SECTION("until one of them has been back for a while") {
        REQUIRE_FALSE(send.look_until(monitor, 2s));
        send.answering = {"three"};
        CHECK(monitor.look());
        send.clock.advance(100ms);
        CHECK(monitor.look());
        CHECK(monitor.silent_others() == std::set<base::upstream_id>{{"two"}});
    }
    SECTION("or its upstream sends again") {
        REQUIRE_FALSE(send.look_until(monitor, 2s));
        CHECK(monitor.silent_others().size() == 2);
        (void)monitor.did_progress();
        CHECK(monitor.silent_others().empty());
    }
    CHECK(send.probes_of_others > 2);
    CHECK(monitor.record().was_shared);
}

// Guards against a host that asks all of ten thousand upstreams for a sign of life because one is silent.
TEST_CASE("few of many other upstreams are asked for a sign of life at a time") {
    watched_send send;
    send.others.clear();
    for (int number = 0; number < 10'000; ++number)
        send.others.push_back({"other-" + std::to_string(number)});
    auto monitor = send.watch_with_others([] { return true; });
    send.clock.advance(monitor.did_progress() - send.clock.now());
    CHECK(monitor.look());
    CHECK(send.probes_of_others > 0);
    CHECK(send.probes_of_others <= gateway::stall_monitor::max_asked_at_a_look);
}

// Guards against leaving a dead upstream later than before, because the others have to be asked first.
TEST_CASE("a send at the only upstream that is silent is given up at the limit") {
    watched_send send;
    auto monitor = send.watch_with_others([] { return true; });
    SECTION("where all others answer") { send.answering = {"two", "three"}; }
    SECTION("where one of them answers") { send.answering = {"three"}; }
    CHECK(send.look_until(monitor, 10s) == limit);
    CHECK_FALSE(monitor.record().was_shared);
}

// Guards against holding on to a dead upstream after a common silence.
TEST_CASE("a send at the upstream that does not come back from a common silence is given up") {
    watched_send send;
    auto monitor = send.watch_with_others([] { return true; });
    REQUIRE_FALSE(send.look_until(monitor, 1'500ms));
    send.answering = {"two"};
    std::optional<base::time_point> next = send.clock.now();
    int looks = 0;
    for (; next && looks < 10; ++looks) {
        send.clock.advance(*next - send.clock.now());
        next = monitor.look();
    }
    CHECK_FALSE(next);
}
