// SPDX-License-Identifier: BSD-2-Clause
// The load: all engines of a service, or most of them, stand still at the same moment for a second or two.
#include <decision/shared_silence.h>

#include <catch2/catch.hpp>

using namespace postpaddle;
using namespace std::chrono_literals;
using decision::ending_alone;
using decision::other_upstreams;
using decision::stall_facts;

namespace {

constexpr stall_facts silent_for(base::duration silent) {
    return {.silent = silent, .limit = 1'200ms, .takeover_limit = 3'200ms, .is_alive = false};
}

constexpr other_upstreams all_silent = {.alive = 0, .silent = 3};

} // namespace

// Guards against giving up a run for one at an upstream that fell silent at the same moment, which costs a
// prompt, retry budget and memory, and ends no sooner.
TEST_CASE("a run whose silence all other upstreams share is kept until one of them shows a sign of life") {
    for (const base::duration silent : {1'200ms, 3'200ms, 10'000ms}) {
        stall_facts facts = silent_for(silent);
        CHECK_FALSE(decision::should_replace(facts, all_silent));
        CHECK(decision::should_replace(facts, {.alive = 1, .silent = 2}));
        facts.is_recovery_expected = false;
        CHECK_FALSE(decision::should_replace(facts, all_silent));
        facts.unfinished = 1'000ms;
        CHECK_FALSE(decision::should_replace(facts, all_silent));
    }
}

// Guards against holding on to a dead upstream for the sake of the others.
TEST_CASE("a run that falls silent alone, or has no other upstream, is replaced at the limit as before") {
    for (const other_upstreams others : {other_upstreams{.alive = 3, .silent = 0},
                                         other_upstreams{.alive = 1, .silent = 2}, other_upstreams{}}) {
        CHECK_FALSE(decision::should_replace(silent_for(1'199ms), others));
        CHECK(decision::should_replace(silent_for(1'200ms), others));
    }
}

// Guards against giving up the runs of all upstreams but the first that comes back from a common silence.
TEST_CASE("after a common silence an upstream may come back a little later than the first one") {
    stall_facts facts = silent_for(1'400ms);
    other_upstreams others = {.alive = 1, .silent = 2, .since_shared = 100ms};
    CHECK_FALSE(decision::should_replace(facts, others));
    others.since_shared = 299ms;
    CHECK_FALSE(decision::should_replace(facts, others));
    SECTION("but not for long") {
        others.since_shared = 300ms;
        CHECK(decision::should_replace(facts, others));
    }
    SECTION("unless waiting longer is too late for the caller") {
        facts.silent = 3'200ms;
        CHECK(decision::should_replace(facts, others));
    }
    SECTION("also where another run would come too late already when the upstream is doubted") {
        facts.takeover_limit = 1'100ms;
        CHECK_FALSE(decision::should_replace(facts, others));
    }
}

// Guards against refusing a request because of a common silence, and against a refusal that comes after its
// caller has left.
TEST_CASE(
    "a request that has not run is refused in a common silence only when its caller is about to leave") {
    stall_facts facts = silent_for(1'200ms);
    facts.ending = ending_alone::refusal;
    CHECK(decision::should_give_up_alone(facts, {.alive = 1, .silent = 2}));
    CHECK_FALSE(decision::should_give_up_alone(facts, all_silent));
    facts.silent = 3'199ms;
    CHECK_FALSE(decision::should_give_up_alone(facts, all_silent));
    facts.silent = 3'200ms;
    CHECK(decision::should_give_up_alone(facts, all_silent));
    for (const ending_alone ending : {ending_alone::failure, ending_alone::broken_answer}) {
        facts.ending = ending;
        CHECK_FALSE(decision::should_give_up_alone(facts, all_silent));
    }
}
