// SPDX-License-Identifier: BSD-2-Clause
// Guards against places that are held by whoever came first, and against a newcomer who takes the place of a
// request in progress.
#include <wire/connection_places.h>

#include <catch2/catch.hpp>

using namespace postpaddle;
using namespace std::chrono_literals;
using wire::choose_to_give_way;
using wire::place_holder;

namespace {

/// A connection that was silent for that long; the longer, the earlier.
place_holder silent_for(std::chrono::seconds time) { return {.last_arrival = base::time_point{} - time}; }

} // namespace

TEST_CASE("the connection that was silent for longest gives way") {
    CHECK(choose_to_give_way({silent_for(2s), silent_for(3s), silent_for(1s)}) == 1);
}

TEST_CASE("one whose request is in progress never gives way") {
    place_holder serving = silent_for(10s);
    serving.is_serving = true;
    CHECK(choose_to_give_way({serving, silent_for(1s)}) == 1);
    CHECK_FALSE(choose_to_give_way({serving, serving}));
    CHECK_FALSE(choose_to_give_way({}));
}

TEST_CASE("one that never had a request served gives way before one that had") {
    place_holder kept = silent_for(10s);
    kept.was_served = true;
    kept.source_places = 20;
    CHECK(choose_to_give_way({kept, silent_for(1s)}) == 1);
    CHECK(choose_to_give_way({kept}) == 0);
}

TEST_CASE("of the connections that have shown as little, one of the source with the most places gives way") {
    place_holder one_of_many = silent_for(1s);
    one_of_many.source_places = 20;
    CHECK(choose_to_give_way({silent_for(10s), one_of_many}) == 1);
}
