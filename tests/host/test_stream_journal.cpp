// SPDX-License-Identifier: BSD-2-Clause
#include <host/stream_journal.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <limits>

using namespace postpaddle;
using namespace std::chrono_literals;
using host::journal_record;
using host::stream_origin;

namespace {

const base::time_point start{1h};
const stream_origin first_origin = {.service = "engines", .software_version = "v1"};
const stream_origin second_origin = {.service = "engines", .software_version = "v2"};
const stream_origin unknown_origin = {};

host::stream_keys make_keys(std::uint64_t id, std::uint64_t content) {
    return {.by_id = {.high = id, .low = 0}, .by_content = {.high = content, .low = 1}};
}

journal_record make_record(std::uint64_t id, std::uint64_t content, const stream_origin& origin,
                           std::uint32_t revision = 0) {
    return {.keys = make_keys(id, content), .origin = origin, .revision = revision, .lifetime = 20s};
}

host::journal_findings find(const host::journal_index& index, std::uint64_t id, std::uint64_t content,
                            base::duration after = 0s) {
    return index.find(make_keys(id, content), start + after);
}

} // namespace

TEST_CASE("records of the journal survive encoding") {
    constexpr auto largest = std::numeric_limits<std::uint64_t>::max();
    const std::vector<journal_record> records = {
        make_record(1, 2, first_origin),
        {.keys = {.by_id = {.high = largest, .low = largest - 1}, .by_content = {.high = 0, .low = largest}},
         .origin = {.service = "", .software_version = "2.0 β"},
         .revision = std::numeric_limits<std::uint32_t>::max(),
         .lifetime = 1h},
        {.keys = {}, .origin = {}, .revision = 0, .lifetime = 0ms}};
    CHECK(host::decode_journal_batch(host::encode_journal_batch(records)) == records);
    CHECK(host::decode_journal_batch(host::encode_journal_batch({})) == std::vector<journal_record>{});
}

// Guards against a host that ends, or believes half of a batch, when the store has other bytes.
TEST_CASE("malformed batches are refused") {
    const std::string bytes = host::encode_journal_batch({make_record(1, 2, first_origin)});
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(host::decode_journal_batch(bytes.substr(0, length)));
    CHECK_FALSE(host::decode_journal_batch(bytes + "x"));
    CHECK_FALSE(host::decode_journal_batch("\x80"));         // An empty map.
    CHECK_FALSE(host::decode_journal_batch("\x01"));         // A number.
    CHECK_FALSE(host::decode_journal_batch("\x91\x01"));     // An array of a number.
    CHECK_FALSE(host::decode_journal_batch("\x91\x90"));     // An array of an empty record.
    CHECK_FALSE(host::decode_journal_batch("\x91\xa1v"));    // An array of a string.
    CHECK_FALSE(host::decode_journal_batch("\xc1 garbage")); // An unused type.
    // Any single byte that differs gives a batch or nothing.
    for (std::size_t position = 0; position < bytes.size(); ++position)
        for (int value = 0; value < 256; ++value) {
            std::string changed = bytes;
            changed[position] = static_cast<char>(value);
            (void)host::decode_journal_batch(changed);
        }
}

// Guards against a record that another host keeps for ever, or that overflows its clock.
TEST_CASE("lifetimes are bounded") {
    auto record = make_record(1, 2, first_origin);
    record.lifetime = std::chrono::milliseconds::max();
    CHECK(host::decode_journal_batch(host::encode_journal_batch({record}))->front().lifetime == 1h);
    record.lifetime = -1s;
    CHECK(host::decode_journal_batch(host::encode_journal_batch({record}))->front().lifetime == 0s);
}

TEST_CASE("streams with the same content share a partition") {
    std::set<std::uint32_t> used;
    for (std::uint64_t content = 0; content < 100; ++content) {
        const std::uint32_t partition = host::journal_partition_of(make_keys(1, content));
        CHECK(partition < host::journal_partitions);
        CHECK(partition == host::journal_partition_of(make_keys(2, content)));
        used.insert(partition);
    }
    CHECK(used.size() == host::journal_partitions);
}

TEST_CASE("a record is found by its attempt and by its content") {
    host::journal_index index;
    index.add(make_record(1, 7, first_origin), start);
    CHECK(find(index, 1, 7).by_id == first_origin);
    CHECK(find(index, 1, 7).by_content == std::set{first_origin});
    CHECK(find(index, 2, 7).by_id == std::nullopt);
    CHECK(find(index, 2, 7).by_content == std::set{first_origin});
    CHECK(find(index, 1, 8).by_id == first_origin);
    CHECK(find(index, 1, 8).by_content.empty());
}

// Guards against records of callers that name no attempt, taken for records of one attempt.
TEST_CASE("records without an attempt are found by content only") {
    host::journal_index index;
    index.add(make_record(0, 7, first_origin), start);
    index.add(make_record(0, 8, second_origin), start);
    CHECK(find(index, 0, 7).by_id == std::nullopt);
    CHECK(find(index, 0, 7).by_content == std::set{first_origin});
    CHECK(find(index, 0, 8).by_content == std::set{second_origin});
}

// Guards against a host that goes by an earlier choice of the attempt as that reaches it last.
TEST_CASE("the last revision counts in whichever order the records come") {
    const std::vector<journal_record> records = {make_record(1, 7, first_origin, 0),
                                                 make_record(1, 7, second_origin, 1),
                                                 make_record(1, 7, first_origin, 2)};
    std::vector<std::size_t> order = {0, 1, 2};
    do {
        host::journal_index index;
        for (const std::size_t next : order)
            index.add(records[next], start);
        CHECK(find(index, 1, 7).by_id == first_origin);
        CHECK(find(index, 1, 7).by_content == std::set{first_origin, second_origin});
    } while (std::ranges::next_permutation(order).found);
}

TEST_CASE("a record that is written twice counts once") {
    host::journal_index index;
    index.add(make_record(1, 7, first_origin), start);
    index.add(make_record(1, 7, first_origin), start);
    CHECK(find(index, 1, 7).by_id == first_origin);
    CHECK(index.size() == 1);
}

// Guards against a stream that goes on where another one with its id began.
TEST_CASE("an id used twice for different origins is unknown") {
    host::journal_index index;
    index.add(make_record(1, 7, first_origin), start);
    index.add(make_record(1, 8, second_origin), start);
    CHECK(find(index, 1, 7).by_id == unknown_origin);
    CHECK(find(index, 1, 8).by_id == unknown_origin);
    SECTION("also after another record of either") {
        index.add(make_record(1, 7, first_origin), start);
        index.add(make_record(1, 8, second_origin), start);
        CHECK(find(index, 1, 7).by_id == unknown_origin);
    }
    SECTION("their contents stay apart") {
        CHECK(find(index, 1, 7).by_content == std::set{first_origin});
        CHECK(find(index, 1, 8).by_content == std::set{second_origin});
    }
}

TEST_CASE("streams with the same content and different origins are both found") {
    host::journal_index index;
    index.add(make_record(1, 7, first_origin), start);
    index.add(make_record(2, 7, second_origin), start);
    CHECK(find(index, 1, 7).by_id == first_origin);
    CHECK(find(index, 2, 7).by_id == second_origin);
    CHECK(find(index, 3, 7).by_content == std::set{first_origin, second_origin});
}

// Guards against records that are dropped while their stream may be resumed, or that are never dropped.
TEST_CASE("records expire after their lifetime") {
    host::journal_index index;
    index.add(make_record(1, 7, first_origin), start);
    index.add(make_record(2, 7, second_origin), start + 5s);
    CHECK(find(index, 1, 7, 19'999ms).by_id == first_origin);
    CHECK(find(index, 1, 7, 20s).by_id == std::nullopt);
    CHECK(find(index, 1, 7, 20s).by_content == std::set{second_origin});
    index.remove_expired(start + 20s);
    CHECK(find(index, 1, 7).by_id == std::nullopt);
    CHECK(find(index, 2, 7).by_id == second_origin);
    CHECK(index.size() == 1);
    index.remove_expired(start + 25s);
    CHECK(index.size() == 0);
}

// Guards against a short record that shortens the time for which an earlier one of the stream is kept.
TEST_CASE("a record keeps the longest of its lifetimes") {
    host::journal_index index;
    auto record = make_record(1, 7, first_origin);
    index.add(record, start);
    record.lifetime = 1s;
    record.revision = 1;
    index.add(record, start + 1s);
    CHECK(find(index, 1, 7, 19s).by_id == first_origin);
    CHECK(find(index, 1, 7, 19s).by_content == std::set{first_origin});
}
