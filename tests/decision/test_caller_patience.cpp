// SPDX-License-Identifier: BSD-2-Clause
#include <decision/caller_patience.h>

#include <catch2/catch.hpp>

using namespace postpaddle;
using namespace std::chrono_literals;

TEST_CASE("a caller with less time left than usual asked before") {
    decision::caller_patience patience;
    CHECK(decision::time_since_first_try(patience, 1'000ms) == 0ms);
    for (int request = 0; request < 40; ++request)
        decision::note_time_left(patience, request % 10 == 0 ? 6'000ms : 14'000ms);
    CHECK(decision::time_since_first_try(patience, 14'000ms) == 0ms);
    CHECK(decision::time_since_first_try(patience, 13'900ms) == 0ms);
    CHECK(decision::time_since_first_try(patience, 9'500ms) == 4'500ms);
}

TEST_CASE("one caller of far longer patience makes nobody look old") {
    decision::caller_patience patience;
    for (int request = 0; request < 20; ++request)
        decision::note_time_left(patience, 14'000ms);
    decision::note_time_left(patience, 90'000ms);
    CHECK(decision::time_since_first_try(patience, 14'000ms) == 0ms);
}

TEST_CASE("a patience that has changed is learned anew") {
    decision::caller_patience patience;
    for (int request = 0; request < 50; ++request)
        decision::note_time_left(patience, 14'000ms);
    for (int request = 0; request < 31; ++request)
        decision::note_time_left(patience, 4'000ms);
    CHECK(decision::time_since_first_try(patience, 4'000ms) == 0ms);
}
