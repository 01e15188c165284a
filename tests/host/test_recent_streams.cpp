// SPDX-License-Identifier: BSD-2-Clause
#include <host/recent_streams.h>

#include <catch2/catch.hpp>

using namespace postpaddle;
using namespace std::chrono_literals;
using host::journal_record;

namespace {

const base::time_point start{1h};
constexpr auto lifetime = std::chrono::milliseconds(20'000);

journal_record make_record(std::uint64_t number, const std::string& version = "v1") {
    return {.keys = {.by_id = {number, 1}, .by_content = {number, 2}},
            .origin = {.service = "engines", .software_version = version},
            .lifetime = lifetime};
}

bool is_any(const journal_record& /*record*/) { return true; }

} // namespace

// Guards against streams that are unknown after a loss of all hosts, as a new split moved their content and
// their hosts kept what they knew to themselves.
TEST_CASE("streams that can't be derived any more are taken once, and only those that the journal lacks") {
    host::recent_streams streams;
    streams.add(make_record(1), false, start);
    streams.add(make_record(2), true, start);
    streams.add(make_record(3, "v2"), false, start);
    const auto is_first_version = [](const journal_record& record) {
        return record.origin.software_version == "v1";
    };
    CHECK(streams.take_unrecorded(is_first_version, start) == std::vector{make_record(1)});
    CHECK(streams.take_unrecorded(is_first_version, start).empty());
    CHECK(streams.take_unrecorded(is_any, start) == std::vector{make_record(3, "v2")});
    CHECK(streams.size() == 3);
}

TEST_CASE("a recent stream is dropped once it can't be resumed any more") {
    host::recent_streams streams;
    streams.add(make_record(1), false, start);
    streams.add(make_record(2), false, start + 1s);
    CHECK(streams.take_unrecorded(is_any, start + lifetime) == std::vector{make_record(2)});
    CHECK(streams.size() == 1);
}

// Guards against a host whose memory grows with the streams that pass through it.
TEST_CASE("the number of recent streams is bounded, the oldest go first") {
    host::recent_streams streams;
    constexpr std::uint64_t extra = 3;
    for (std::uint64_t number = 0; number < host::recent_streams::max_streams + extra; ++number)
        streams.add(make_record(number), false, start);
    CHECK(streams.size() == host::recent_streams::max_streams);
    const auto taken = streams.take_unrecorded(is_any, start);
    REQUIRE(taken.size() == host::recent_streams::max_streams);
    CHECK(taken.front() == make_record(extra));
}
