// SPDX-License-Identifier: BSD-2-Clause
#include <host/store_outage.h>

#include <catch2/catch.hpp>

using namespace postpaddle;
using namespace std::chrono_literals;

namespace {

const base::time_point now{1h};
constexpr host::outage_options options{.window = 3s, .max_proof_age = 2s};

host::outage_evidence failing(std::initializer_list<std::pair<const char*, base::duration>> hosts) {
    host::outage_evidence evidence;
    for (const auto& [name, age] : hosts)
        host::record_failing(evidence, {name}, now - age);
    return evidence;
}

/// Records reads that the store answered from `first` ago to `last` ago.
void serve(host::outage_evidence& evidence, base::duration first, base::duration last) {
    for (base::duration age = first; age >= last; age -= 200ms)
        host::record_served(evidence, options, now - age);
}

} // namespace

// Guards against upstreams that stay in use after their entries went, as one host with a slow link can't
// read.
TEST_CASE("failed reads of a single host are not taken for trouble of the store") {
    auto none = failing({});
    auto one = failing({{"a", 1s}});
    CHECK_FALSE(host::was_store_away(one, options, 3, now));
    for (auto* const evidence : {&none, &one})
        host::record_failed(*evidence, now - 1s);
    CHECK_FALSE(host::was_store_away(none, options, 3, now));
    CHECK(host::was_store_away(one, options, 3, now));
    CHECK(host::was_store_away(failing({{"a", 1s}, {"b", 2s}}), options, 3, now));
    CHECK_FALSE(host::was_store_away(failing({{"a", 4s}, {"b", 4s}}), options, 3, now));
    // A host that knows no other has nobody's word but its own.
    CHECK(host::was_store_away(none, options, 0, now));
}

// Guards against a host that doubts what it has read itself, as others can't read.
TEST_CASE("a host that the store has answered throughout does not believe that it was away") {
    auto evidence = failing({{"a", 100ms}, {"b", 50ms}, {"c", 10ms}});
    serve(evidence, 4s, 200ms);
    CHECK_FALSE(host::was_store_away(evidence, options, 5, now));
    SECTION("unless it has just begun to read") {
        auto fresh = failing({{"a", 100ms}, {"b", 50ms}});
        serve(fresh, 2s, 0s);
        CHECK(host::was_store_away(fresh, options, 5, now));
    }
    SECTION("unless its own reads have failed since") {
        host::record_failed(evidence, now - 300ms);
        serve(evidence, 200ms, 0s);
        CHECK(host::was_store_away(evidence, options, 5, now));
    }
    SECTION("unless it did not read for a while") {
        auto paused = failing({{"a", 100ms}, {"b", 50ms}});
        serve(paused, 9s, 5s);
        serve(paused, 1s, 0s);
        CHECK(host::was_store_away(paused, options, 5, now));
    }
    SECTION("unless that was long ago") {
        auto old = failing({{"a", 100ms}, {"b", 50ms}});
        serve(old, 9s, 3s);
        CHECK(host::was_store_away(old, options, 5, now));
    }
}

TEST_CASE("another host that the store has answered throughout refutes that it was away") {
    auto evidence = failing({{"a", 100ms}, {"b", 50ms}});
    host::record_failed(evidence, now - 20ms);
    host::record_span(evidence, options, {"c"}, {now - 2s, now});
    CHECK(host::was_store_away(evidence, options, 5, now));
    host::record_span(evidence, options, {"c"}, {now - 5s, now - 1s});
    CHECK_FALSE(host::was_store_away(evidence, options, 5, now));
    CHECK(host::was_store_away(evidence, options, 5, now + 1'100ms));
    SECTION("until its own reads fail") {
        host::record_failing(evidence, {"c"}, now);
        CHECK(host::was_store_away(evidence, options, 5, now));
    }
    SECTION("whatever an older message says") {
        host::record_span(evidence, options, {"d"}, {now - 20s, now - 10s});
        CHECK_FALSE(host::was_store_away(evidence, options, 5, now));
    }
}
