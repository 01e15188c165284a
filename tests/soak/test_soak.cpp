// SPDX-License-Identifier: BSD-2-Clause
// Plays a few fixed seeds of the fault soak, one of each mix of faults. The verdict depends on promises only,
// never on how much was served or how fast.
#include <soak/soak_run.h>

#include <catch2/catch.hpp>

#include <optional>

using namespace postpaddle;

namespace {

constexpr soak::milliseconds usual_length(12'000);

void play(std::uint64_t seed, std::optional<soak::fault_mix> mix = std::nullopt,
          soak::milliseconds length = usual_length) {
    const soak::soak_report report =
        soak::run_soak({.seed = seed, .hosts = 3, .length = length, .mix = mix}, false);
    INFO(soak::describe_failure(report));
    CHECK(report.found.empty());
    // A run in which nothing was answered proves nothing.
    CHECK_FALSE(report.seen.attempts.empty());
}

} // namespace

TEST_CASE("soak: planned stops, reloads, changes of settings and silences keep every promise") { play(4); }

TEST_CASE("soak: servers that end, leave, refuse and send wrong answers keep every promise") { play(5); }

TEST_CASE("soak: servers that send bytes without end keep every promise") { play(17); }

TEST_CASE("soak: hosts that are killed or frozen and a disturbed store keep every promise") { play(6); }

TEST_CASE("soak: all faults together keep every promise") { play(7); }

TEST_CASE("soak: releases of engines and losses of all hosts keep every promise") {
    play(1, soak::fault_mix::releases);
}

TEST_CASE(
    "soak: requests that servers close and refuse, beside stops and kills, stay within the retry budget") {
    play(2, soak::fault_mix::breaks);
}

TEST_CASE("soak: breaks, cuts, failing links, releases and losses of all hosts together keep every promise") {
    // Long enough for the retry budget to be used up.
    play(305, soak::fault_mix::combined, soak::milliseconds(20'000));
}

TEST_CASE(
    "soak: servers that leave or start again, beside hosts that the store turns away, get nothing late") {
    play(1, soak::fault_mix::departures);
}

TEST_CASE("soak: servers without end, large bodies and stops beside long streams end nobody else's request") {
    play(1, soak::fault_mix::memory);
}

// Guards against clients that nobody controls and who take the place, the memory or the time of others.
TEST_CASE(
    "soak: clients that keep no limit, beside stops, changes and servers without end, end nobody else's "
    "request") {
    play(1, soak::fault_mix::crowds);
}
