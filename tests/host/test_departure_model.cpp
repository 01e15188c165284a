// SPDX-License-Identifier: BSD-2-Clause
// Guards against requests to upstreams that have left, by whichever word and whoever else is in trouble, and
// against a service that nobody gets as entries lapsed while the store was away.
#include "departure_model.h"

#include <catch2/catch.hpp>

#include <array>

using namespace postpaddle;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seeds = 40;

void check_all(test::departure_plan plan) {
    int departures = 0;
    int lapses = 0;
    int losses = 0;
    std::array<int, host::read_endings> endings{};
    for (plan.seed = 1; plan.seed <= seeds; ++plan.seed) {
        const auto result = test::run_departures(plan);
        INFO("seed " << plan.seed << ": latest " << base::to_milliseconds(result.latest) << " ms");
        CHECK(result.late_uses == 0);
        CHECK(result.unserved == 0);
        departures += result.departures;
        lapses += result.lapses;
        losses += result.losses;
        for (std::size_t ending = 0; ending < host::read_endings; ++ending)
            endings.at(ending) += result.endings.at(ending);
    }
    CHECK((departures > 0) == plan.has_departures);
    CHECK((lapses > 0) == plan.has_outages);
    CHECK((losses > 0) == plan.forgets);
    const bool draws_all =
        plan.has_outages && plan.turns_hosts_away && plan.forgets && plan.has_unclear_endings;
    for (std::size_t ending = 0; ending < host::read_endings && draws_all; ++ending) {
        INFO(host::to_text(static_cast<host::read_ending>(ending)));
        CHECK(endings.at(ending) > 0);
    }
}

} // namespace

TEST_CASE("an upstream that left is not used later than the bound, while hosts cannot read the store") {
    check_all({.has_outages = false, .has_restarts = false, .writes_late = false});
}

TEST_CASE("an upstream that left is not used later than the bound, while the store forgets its history") {
    check_all({.has_outages = false, .turns_hosts_away = false, .has_restarts = false, .writes_late = false});
    check_all({.has_outages = false, .has_unclear_endings = false});
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
