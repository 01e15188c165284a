// SPDX-License-Identifier: BSD-2-Clause
// Guards against a process that runs out of memory, and against messages of one source that end because of
// another one's.
#include <wire/collected_data.h>

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace postpaddle;
using message = wire::collected_data::scoped_message;

namespace {

constexpr std::uint64_t bound = 100;

/// A message and how often it was given up.
struct fake_message {
    fake_message(wire::collected_data& data, const std::string& source)
        : held(data, source, [this] { ++this->times_given_up; }) {}

    int times_given_up = 0;
    message held;
};

} // namespace

TEST_CASE("beyond the bound the largest message of the source that fills most of it is given up") {
    wire::collected_data data(bound);
    fake_message sound(data, "sound");
    REQUIRE(sound.held.try_hold(30));
    fake_message small(data, "endless");
    fake_message large(data, "endless");
    REQUIRE(small.held.try_hold(25));
    REQUIRE(large.held.try_hold(40));
    // It is the sound one that asks for more.
    CHECK(sound.held.try_hold(36));
    CHECK(large.times_given_up == 1);
    CHECK(small.times_given_up == 0);
    CHECK_FALSE(large.held.try_hold(1));
    CHECK(data.bytes() == 61);
    CHECK(data.given_up() == 1);
}

TEST_CASE("a message that is the largest itself is not taken") {
    wire::collected_data data(bound);
    fake_message other(data, "other");
    REQUIRE(other.held.try_hold(20));
    fake_message endless(data, "endless");
    REQUIRE(endless.held.try_hold(80));
    CHECK_FALSE(endless.held.try_hold(81));
    CHECK(endless.times_given_up == 0);
    CHECK(other.held.try_hold(21));
    CHECK(data.bytes() == 21);
}

TEST_CASE("a message that is whole is kept, and the next one finds no room") {
    wire::collected_data data(bound);
    auto whole = std::make_unique<fake_message>(data, "one");
    REQUIRE(whole->held.try_hold(90));
    whole->held.did_complete();
    {
        fake_message next(data, "two");
        CHECK_FALSE(next.held.try_hold(11));
    }
    CHECK(whole->times_given_up == 0);
    CHECK(data.bytes() == 90);
    whole.reset();
    fake_message next(data, "two");
    CHECK(next.held.try_hold(100));
}

// Guards against a bound that holds for few messages only.
TEST_CASE("however many sources send without end, the bytes held never exceed the bound") {
    constexpr std::size_t messages = 1'000;
    constexpr std::uint64_t bytes_each = 16;
    wire::collected_data data(bytes_each * messages);
    std::vector<std::unique_ptr<fake_message>> open;
    open.reserve(messages);
    for (std::size_t number = 0; number < messages; ++number)
        open.push_back(std::make_unique<fake_message>(data, "server-" + std::to_string(number % 7)));
    fake_message sound(data, "sound");
    for (std::uint64_t bytes = 1; bytes <= 256; bytes *= 2)
        for (const auto& each : open) {
            (void)each->held.try_hold(bytes);
            CHECK(sound.held.try_hold(12));
            REQUIRE(data.bytes() <= data.bound());
        }
    CHECK(sound.times_given_up == 0);
}

// Guards against an account that has no room for a single message that the limits in force allow.
TEST_CASE("a message finds room within the reserve, which the bound's own limit ends") {
    wire::collected_data data({.share = bound, .max_bound = 5 * bound});
    data.set_reserve(3 * bound);
    fake_message small(data, "small");
    REQUIRE(small.held.try_hold(bound));
    fake_message large(data, "large");
    CHECK(large.held.try_hold(3 * bound));
    CHECK(small.times_given_up == 0);
    data.set_reserve(100 * bound);
    CHECK(data.bound() == 5 * bound);
    data.set_reserve(0);
    CHECK(data.bound() == bound);
}

// Guards against a kept connection whose earlier message was whole, so that none of its later ones gives way.
TEST_CASE("the next message of a connection holds nothing at first and may be given up") {
    wire::collected_data data(bound);
    fake_message kept(data, "kept");
    REQUIRE(kept.held.try_hold(90));
    kept.held.did_complete();
    kept.held.begin_next();
    CHECK(data.bytes() == 0);
    REQUIRE(kept.held.try_hold(60));
    fake_message other(data, "other");
    CHECK(other.held.try_hold(50));
    CHECK(kept.times_given_up == 1);
}
