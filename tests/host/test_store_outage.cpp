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
        host::record_absence(evidence, {name}, now - age);
    return evidence;
}

/// Records reads that the store answered from `first` ago to `last` ago.
void serve(host::outage_evidence& evidence, base::duration first, base::duration last) {
    for (base::duration age = first; age >= last; age -= 200ms)
        host::record_read(evidence, options, host::read_ending::answered, now - age);
}

} // namespace

// Guards against upstreams that stay in use after their entries went, as one host with a slow link can't
// read.
TEST_CASE("failed reads of a single host are not taken for trouble of the store") {
    auto none = failing({});
    auto one = failing({{"a", 1s}});
    CHECK_FALSE(host::was_store_away(one, options, 3, now));
    for (auto* const evidence : {&none, &one})
        host::record_read(*evidence, options, host::read_ending::no_answer, now - 1s);
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
    serve(evidence, 4s, 400ms);
    CHECK_FALSE(host::was_store_away(evidence, options, 5, now));
    SECTION("unless it has just begun to read") {
        auto fresh = failing({{"a", 100ms}, {"b", 50ms}});
        serve(fresh, 2s, 0s);
        CHECK(host::was_store_away(fresh, options, 5, now));
    }
    SECTION("unless its own reads have failed since") {
        host::record_read(evidence, options, host::read_ending::no_answer, now - 300ms);
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
    host::record_read(evidence, options, host::read_ending::no_answer, now - 20ms);
    host::record_presence(evidence, {now - 2s, now - 1'500ms});
    CHECK(host::was_store_away(evidence, options, 5, now));
    host::record_presence(evidence, {now - 5s, now - 1s});
    CHECK_FALSE(host::was_store_away(evidence, options, 5, now));
    CHECK(host::was_store_away(evidence, options, 5, now + 1'100ms));
    SECTION("whatever an older message says") {
        host::record_presence(evidence, {now - 20s, now - 10s});
        CHECK_FALSE(host::was_store_away(evidence, options, 5, now));
    }
}

// Guards against a doubt that nobody refutes, as each host was turned away a short time ago.
TEST_CASE("hosts that the store answered in turn refute together that it was away") {
    auto evidence = failing({{"a", 100ms}, {"b", 50ms}});
    host::record_presence(evidence, {now - 9s, now - 2s});
    SECTION("if their spans overlap") {
        host::record_presence(evidence, {now - 2'100ms, now - 100ms});
        CHECK_FALSE(host::was_store_away(evidence, options, 5, now));
    }
    // In between it may have been away for all.
    SECTION("and not otherwise") {
        host::record_presence(evidence, {now - 1'900ms, now - 100ms});
        CHECK(host::was_store_away(evidence, options, 5, now));
    }
    SECTION("this host's own span included") {
        for (base::duration age = 2'200ms; age >= 0ms; age -= 200ms)
            host::record_read(evidence, options, host::read_ending::answered, now - age);
        CHECK_FALSE(host::was_store_away(evidence, options, 5, now));
    }
}

// Guards against a doubt that is built from anything but reads that the store could have served and didn't.
TEST_CASE("only reads that the store leaves unserved make a host tell that it is away") {
    for (std::size_t number = 0; number < host::read_endings; ++number) {
        const auto ending = static_cast<host::read_ending>(number);
        INFO(host::to_text(ending));
        host::outage_evidence evidence;
        serve(evidence, 4s, 200ms);
        host::record_read(evidence, options, ending, now);
        const bool is_absent = host::evidence_of(ending).proof == host::store_proof::absent;
        CHECK(host::is_absence_told(evidence, options, now) == is_absent);
        host::record_absence(evidence, {"a"}, now);
        host::record_absence(evidence, {"b"}, now);
        // When it is answered again, and may read of entries that went, it still refutes the others unless
        // its own read proved the opposite.
        const base::time_point later = now + 600ms;
        host::record_read(evidence, options, host::read_ending::answered, later);
        CHECK(host::was_store_away(evidence, options, 0, later) == is_absent);
        CHECK(host::was_store_away(evidence, options, 5, later) == is_absent);
    }
}

// Guards against all hosts losing the proof that the store was there, as it forgets its history for all.
TEST_CASE("a host goes on proving that the store was there when the store says that its history is gone") {
    host::outage_evidence evidence;
    serve(evidence, 4s, 400ms);
    host::record_read(evidence, options, host::read_ending::history_lost, now - 200ms);
    host::record_read(evidence, options, host::read_ending::history_lost, now);
    CHECK(evidence.own == host::served_span{.since = now - 4s, .until = now});
}

// Guards against a host that complains for good, as it follows others and reads no more.
TEST_CASE("a host tells of the store's absence no longer than an outage is remembered") {
    host::outage_evidence evidence;
    host::record_read(evidence, options, host::read_ending::turned_away, now);
    CHECK(host::is_absence_told(evidence, options, now + 3s));
    CHECK_FALSE(host::is_absence_told(evidence, options, now + 3'001ms));
}
