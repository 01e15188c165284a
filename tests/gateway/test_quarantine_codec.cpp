// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/quarantine/quarantine_codec.h>

#include <support/manual_clock.h>

#include <catch2/catch.hpp>

#include <random>

using namespace postpaddle;
using namespace std::chrono_literals;

namespace {

host::suspect_report example(base::time_point now) {
    return {.request = {17, 0xFFFF'FFFF'FFFF'FFFF},
            .exits = {{1, now - 20ms}, {0xFFFF'FFFF, now - 3'000ms}},
            .last_success = now - 5'000ms,
            .is_stored = true};
}

} // namespace

TEST_CASE("reports about suspected requests round-trip") {
    const test::manual_clock clock;
    const gateway::quarantine_message message = {
        .host = {"host-1"},
        .reports = {example(clock.now()), {.request = {1, 2}, .exits = {{5, clock.now()}}}}};
    const std::string bytes = gateway::encode_quarantine(message, clock.now());
    CHECK(gateway::decode_quarantine(bytes, clock.now()) == message);
}

TEST_CASE("corrupted reports are rejected or decoded within bounds") {
    const test::manual_clock clock;
    const std::string bytes = gateway::encode_quarantine({{"host-1"}, {example(clock.now())}}, clock.now());
    std::mt19937 random(7);
    std::uniform_int_distribution<std::size_t> position(0, bytes.size() - 1);
    std::uniform_int_distribution<int> letter(0, 255);
    for (int round = 0; round < 2'000; ++round) {
        std::string corrupted = bytes;
        corrupted[position(random)] = static_cast<char>(letter(random));
        corrupted.resize(position(random));
        const auto read = gateway::decode_quarantine(corrupted, clock.now());
        CHECK((!read || read->reports.size() <= 1));
    }
}

TEST_CASE("a stored note can be read by a process that started later") {
    test::manual_clock writer;
    const ports::quarantine_note note =
        gateway::encode_quarantine_note(example(writer.now()), {"host-1"}, writer);
    CHECK(note.key == "0000000000000011ffffffffffffffff.host-1");
    test::manual_clock reader;
    reader.advance(60s);
    const auto read = gateway::decode_quarantine_note(note, reader);
    REQUIRE(read);
    auto expected = example(reader.now() - 60s);
    expected.is_stored = false;
    CHECK(*read == expected);
}

TEST_CASE("deleted and malformed notes are ignored") {
    const test::manual_clock clock;
    const std::string key = "0000000000000011ffffffffffffffff.host-1";
    CHECK_FALSE(gateway::decode_quarantine_note({key, std::nullopt}, clock));
    CHECK_FALSE(gateway::decode_quarantine_note({"short.host-1", "{\"ends\":[]}"}, clock));
    for (const char* const text : {"", "{}", "[]", "{\"ends\":7}", "{\"ends\":[[1]]}",
                                   "{\"ends\":[[\"a\",2]]}", "{\"ends\":[],\"good\":\"x\"}"})
        CHECK_FALSE(gateway::decode_quarantine_note({key, text}, clock));
}
