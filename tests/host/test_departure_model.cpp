// SPDX-License-Identifier: BSD-2-Clause
// Guards against requests to upstreams that have left, by whichever word and whoever else is in trouble, and
// against a service that nobody gets as entries lapsed while the store was away.
#include "departure_model.h"

#include <catch2/catch.hpp>

using namespace postpaddle;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seeds = 40;

void check_all(test::departure_plan plan) {
    int departures = 0;
    int lapses = 0;
    for (plan.seed = 1; plan.seed <= seeds; ++plan.seed) {
        const auto result = test::run_departures(plan);
        INFO("seed " << plan.seed << ": latest " << base::to_milliseconds(result.latest) << " ms");
        CHECK(result.late_uses == 0);
        CHECK(result.unserved == 0);
        departures += result.departures;
        lapses += result.lapses;
    }
    CHECK((departures > 0) == plan.has_departures);
    CHECK((lapses > 0) == plan.has_outages);
}

} // namespace

TEST_CASE("an upstream that left is not used later than the bound, while hosts cannot read the store") {
    check_all({.has_outages = false, .has_restarts = false, .writes_late = false});
}

TEST_CASE("an upstream that starts again with any clock and then leaves is not used later than the bound") {
    check_all({.has_outages = false, .turns_hosts_away = false, .writes_late = false});
}

TEST_CASE("upstreams whose entries lapsed while the store was away are used until they are written again") {
    check_all({.turns_hosts_away = false, .has_departures = false, .has_restarts = false});
}

TEST_CASE("no word is late and no service lost while hosts, the store and upstreams are in trouble at once") {
    check_all({});
    check_all({.hosts = 20, .upstreams = 8});
}
