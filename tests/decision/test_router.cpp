// SPDX-License-Identifier: BSD-2-Clause
#include <decision/random_world.h>

#include <catch2/catch.hpp>

namespace {

using namespace postpaddle;
using namespace postpaddle::decision;
using namespace std::chrono_literals;
using test::make_facts;
using test::make_topology;

/// A router with a simulated clock.
struct router_fixture {
    explicit router_fixture(int prefills = 2, int decodes = 2, int slots = 2) : state(make_router({})) {
        this->send(topology_changed{make_topology(prefills, decodes, slots)});
    }

    effects send(const event& event) { return step(this->state, event, this->now); }

    template <class Effect> static const Effect* find(const effects& all) {
        for (const effect& item : all)
            if (const auto* const found = std::get_if<Effect>(&item))
                return found;
        return nullptr;
    }

    /// Advances a new request until its decode has been started.
    start_decode run_to_transfer(const std::string& id) {
        const auto started = this->send(request_arrived{make_facts(id)});
        const auto* const prefill = find<start_prefill>(started);
        REQUIRE(prefill != nullptr);
        this->now += 60ms;
        const auto ended = this->send(prefill_ended{{id}, prefill->attempt, 1000, 0});
        const auto* const decode = find<start_decode>(ended);
        REQUIRE(decode != nullptr);
        return *decode;
    }

    router_state state;
    base::time_point now{1h};
};

} // namespace

TEST_CASE("a prompt starts only with a reserved decode slot") {
    router_fixture router;
    const auto effects = router.send(request_arrived{make_facts("r")});
    const auto* const start = router_fixture::find<start_prefill>(effects);
    REQUIRE(start != nullptr);
    CHECK_FALSE(start->decode.is_empty());
    const auto& decode = engine_at(router.state, router.state.engine_by_id.at(start->decode));
    CHECK(reserved_slots(decode) == 1);
}

TEST_CASE("a request is refused before its prefill if no decode slot is free in time") {
    router_fixture router(2, 1, 1);
    auto long_one = make_facts("long", "/a", 1000, 4000);
    REQUIRE(router_fixture::find<start_prefill>(router.send(request_arrived{long_one})) != nullptr);
    const auto second = router.send(request_arrived{make_facts("second")});
    CHECK(router_fixture::find<start_prefill>(second) == nullptr);
    const auto* const end = router_fixture::find<end_request>(second);
    REQUIRE(end != nullptr);
    CHECK(end->reason == refusal::cannot_meet_target);
    CHECK(end->retry_after >= 1s);
    CHECK(router.state.counters.prefill_tokens == 0);
}

TEST_CASE("a prompt that can't meet its target on an idle engine is refused immediately") {
    router_fixture router;
    const auto effects = router.send(request_arrived{make_facts("big", "/a", 50'000)});
    const auto* const end = router_fixture::find<end_request>(effects);
    REQUIRE(end != nullptr);
    CHECK(end->reason == refusal::cannot_meet_target);
}

TEST_CASE("the retained KV cache is reused if the decode engine fails before its first token") {
    router_fixture router;
    const start_decode first = router.run_to_transfer("r");
    const auto effects = router.send(phase_failed{{"r"}, first.attempt, failure::broken, 0});
    const auto* const second = router_fixture::find<start_decode>(effects);
    REQUIRE(second != nullptr);
    CHECK(second->prefill == first.prefill);
    CHECK_FALSE(second->decode == first.decode);
    CHECK(router_fixture::find<start_prefill>(effects) == nullptr);
    CHECK(router.state.counters.wasted_prefill_tokens == 0);
    CHECK(router.state.counters.kv_reused == 1);
}

TEST_CASE("a prompt whose KV cache is lost is prefilled again and counted as wasted") {
    router_fixture router;
    const start_decode first = router.run_to_transfer("r");
    router.now += 200ms;
    const auto effects = router.send(phase_failed{{"r"}, first.attempt, failure::lost_kv, 0});
    CHECK(router_fixture::find<start_prefill>(effects) != nullptr);
    CHECK(router.state.counters.wasted_prefill_tokens == 1000);
}

TEST_CASE("a prompt is not prefilled again after its target has passed") {
    router_fixture router;
    const start_decode first = router.run_to_transfer("r");
    router.now += 4s;
    const auto effects = router.send(phase_failed{{"r"}, first.attempt, failure::late, 0});
    CHECK(router_fixture::find<start_prefill>(effects) == nullptr);
    CHECK(router_fixture::find<end_request>(effects) != nullptr);
}

TEST_CASE("an at-most-once request is not retried after it may have been executed") {
    router_fixture router;
    auto facts = make_facts("r");
    facts.runs = execution_rule::at_most_once;
    const auto started = router.send(request_arrived{facts});
    const auto* const start = router_fixture::find<start_prefill>(started);
    REQUIRE(start != nullptr);
    const auto effects = router.send(phase_failed{{"r"}, start->attempt, failure::broken, 0});
    CHECK(router_fixture::find<start_prefill>(effects) == nullptr);
    REQUIRE(router_fixture::find<end_request>(effects) != nullptr);
}

TEST_CASE("all holds are released when the caller disconnects") {
    router_fixture router;
    const start_decode decode = router.run_to_transfer("r");
    const auto effects = router.send(caller_disconnected{{"r"}});
    int releases = 0;
    for (const effect& item : effects)
        releases += std::holds_alternative<release_hold>(item) ? 1 : 0;
    CHECK(releases == 2); // The retained KV cache and the decode.
    CHECK(explain(router.state, {"r"}) != nullptr);
    router.send(hold_released{{"r"}, decode.attempt, decode.prefill});
    router.send(hold_released{{"r"}, decode.attempt, decode.decode});
    CHECK(router.state.requests.empty());
}

TEST_CASE("a leaving engine gets no new requests, whichever source reports it") {
    router_fixture router(1, 2, 2);
    SECTION("the settings") {
        auto topology = make_topology(1, 2, 2);
        topology.engines.at({"d0"}).is_leaving = true;
        router.send(topology_changed{topology});
    }
    SECTION("the platform") { router.send(leaving_changed{{"d0"}, true}); }
    SECTION("the engine itself") { router.send(load_report_received{{"d0"}, {0, 0, 2, 0, true}, 0ms}); }
    for (int index = 0; index < 2; ++index) {
        const auto effects = router.send(request_arrived{make_facts("r" + std::to_string(index))});
        const auto* const start = router_fixture::find<start_prefill>(effects);
        REQUIRE(start != nullptr);
        CHECK(start->decode == base::upstream_id{"d1"});
    }
}

// Guards against a report that was longer on its way, over another host, and would have an engine that drains
// get new requests.
TEST_CASE("an older load report doesn't take back that an engine drains, a newer one does") {
    router_fixture router(1, 1, 2);
    const auto is_served = [&router](const std::string& id) {
        return router_fixture::find<start_prefill>(router.send(request_arrived{make_facts(id)})) != nullptr;
    };
    router.now += 10s;
    router.send(load_report_received{{"d0"}, {0, 0, 2, 0, true}, 100ms});
    router.send(load_report_received{{"d0"}, {0, 0, 2, 0, false}, 600ms});
    CHECK_FALSE(is_served("drained"));
    router.now += 1s;
    router.send(load_report_received{{"d0"}, {0, 0, 2, 0, false}, 900ms});
    CHECK(is_served("back"));
}

TEST_CASE("an engine with repeated failures is ejected and later probed with one request") {
    router_fixture router(1, 1, 16);
    for (int index = 0; index < 4; ++index) {
        const auto effects = router.send(request_arrived{make_facts("r" + std::to_string(index))});
        if (const auto* const start = router_fixture::find<start_prefill>(effects))
            router.send(phase_failed{start->id, start->attempt, failure::broken, 0});
        router.now += 150ms;
    }
    const auto refused = router.send(request_arrived{make_facts("late")});
    REQUIRE(router_fixture::find<end_request>(refused) != nullptr);
    CHECK(router_fixture::find<end_request>(refused)->reason == refusal::no_engine);
    router.now += 30s;
    const auto trial = router.send(request_arrived{make_facts("trial")});
    CHECK(router_fixture::find<start_prefill>(trial) != nullptr);
    const auto second = router.send(request_arrived{make_facts("second")});
    CHECK(router_fixture::find<start_prefill>(second) == nullptr);
}

TEST_CASE("a late response of a superseded attempt is ignored") {
    router_fixture router;
    const start_decode first = router.run_to_transfer("r");
    router.send(phase_failed{{"r"}, first.attempt, failure::broken, 0});
    const auto effects = router.send(first_token_seen{{"r"}, first.attempt});
    CHECK(effects.empty());
    CHECK(router.state.counters.ignored_events == 1);
}

TEST_CASE("one prompt of any length is sent, the next when the window has room") {
    router_fixture router(1, 4, 8);
    router.send(share_granted{{"p0"}, 0.1});
    CHECK(router_fixture::find<start_prefill>(
              router.send(request_arrived{make_facts("first", "/a", 4000)})) != nullptr);
    CHECK(router_fixture::find<start_prefill>(router.send(request_arrived{make_facts("second")})) == nullptr);
    router.now += 200ms;
    CHECK(router_fixture::find<start_prefill>(router.send(prefill_ended{{"first"}, 1, 4000, 0})) != nullptr);
}

TEST_CASE("an organisation beyond its share gets lower priority at the engines") {
    router_fixture router(1, 4, 8);
    for (int index = 0; index < 120; ++index) {
        router.send(request_arrived{make_facts("flood" + std::to_string(index), "/flood", 4000)});
        router.now += 10ms;
        // The first prompts were sent before the organisation exceeded its share.
        if (index >= 100 && index < 103)
            router.send(prefill_ended{{"flood" + std::to_string(index - 100)}, 1, 4000, 0});
    }
    const auto quiet = router.send(request_arrived{make_facts("quiet", "/quiet", 200)});
    const auto* const own = router_fixture::find<start_prefill>(quiet);
    REQUIRE(own != nullptr);
    CHECK(own->id == base::request_id{"quiet"});
    CHECK(own->engine_priority < 10);
    bool has_later_flood = false;
    for (const auto& [id, request] : router.state.requests)
        has_later_flood =
            has_later_flood || (request.at == phase::prefilling && request.engine_priority >= 10);
    CHECK(has_later_flood);
}
