// SPDX-License-Identifier: BSD-2-Clause
#include <decision/random_world.h>
#include <service/decision_controller.h>
#include <support/manual_clock.h>

#include <catch2/catch.hpp>

namespace {

using namespace postpaddle;

/// Number of requests that the decision thread keeps state for.
std::size_t request_count(service::decision_controller& decision) {
    std::size_t count = 0;
    decision.inspect([&count](const decision::router_state& state) { count = state.requests.size(); });
    return count;
}

} // namespace

TEST_CASE("a caller that disconnects before its request is admitted leaves no request behind") {
    // Both events wait in their rings until the thread runs. The disconnect used to be applied first, to a
    // request that was not known yet, and the request then kept its engines' slots forever.
    test::manual_clock clock;
    service::decision_controller decision(clock, {});
    REQUIRE(decision.try_report(decision::topology_changed{test::make_topology(2, 2, 4)}));
    REQUIRE(decision.try_submit(test::make_facts("gone.0")));
    REQUIRE(decision.try_submit(test::make_facts("present.0")));
    REQUIRE(decision.try_report(decision::caller_disconnected{base::request_id{"gone.0"}}));
    decision.start();

    CHECK(request_count(decision) == 1);
    decision.inspect([](const decision::router_state& state) {
        CHECK(state.requests.contains(base::request_id{"present.0"}));
        CHECK(state.counters.arrived == 1);
    });
}
