// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/store_sync/feed_ending.h>

#include <catch2/catch.hpp>

using namespace postpaddle;
using namespace std::chrono_literals;
using host::read_ending;
using ports::feed_failure;

// Guards against an answer that is taken for silence, and against silence of this host's own making.
TEST_CASE("a failed read of the store ends as what happened to it, not as the store's absence") {
    CHECK(gateway::ending_of({.failure = feed_failure::history_lost}) == read_ending::history_lost);
    CHECK(gateway::ending_of({.failure = feed_failure::rejected}) == read_ending::rejected);
    CHECK(gateway::ending_of({.failure = feed_failure::unavailable}) == read_ending::turned_away);
    CHECK(gateway::ending_of({.failure = feed_failure::malformed}) == read_ending::unreadable);
    CHECK(gateway::ending_of({.failure = feed_failure::cut}) == read_ending::cut);
}

TEST_CASE("a read without an answer proves the store's absence only if it could be answered at once and this "
          "process was there to see it") {
    const gateway::failed_read probe = {
        .failure = feed_failure::unreachable, .waits_for_record = false, .took = 400ms, .limit = 400ms};
    CHECK(gateway::ending_of(probe) == read_ending::no_answer);
    auto waiting = probe;
    waiting.waits_for_record = true;
    CHECK(gateway::ending_of(waiting) == read_ending::lost_wait);
    auto late = probe;
    late.took = 2s;
    CHECK(gateway::ending_of(late) == read_ending::ended_too_late);
}
