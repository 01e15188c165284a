// SPDX-License-Identifier: BSD-2-Clause
// How long the plain responses of a service are expected to take at the most.
#include <decision/response_times.h>

#include <catch2/catch.hpp>

using namespace postpaddle;
using namespace std::chrono_literals;

// Guards against an expectation that rests on a few responses.
TEST_CASE("nothing is expected of a service's responses before enough of them were timed") {
    decision::response_times times;
    for (int number = 0; number < 7; ++number) {
        decision::record_response(times, 100ms);
        CHECK_FALSE(decision::longest_response(times));
    }
    decision::record_response(times, 100ms);
    CHECK(decision::longest_response(times) == 125ms);
}

// Guards against a stop that reckons with the mean, which half of the responses exceed.
TEST_CASE("the longest of the latest responses counts, not their mean, until many shorter ones have come") {
    decision::response_times times;
    for (int number = 0; number < 100; ++number)
        decision::record_response(times, number == 90 ? 2s : 100ms);
    CHECK(decision::longest_response(times).value() > 2s);
    for (int number = 0; number < 300; ++number)
        decision::record_response(times, 100ms);
    CHECK(decision::longest_response(times).value() < 200ms);
}
