// SPDX-License-Identifier: BSD-2-Clause
#include <base/json_parser.h>

#include <catch2/catch.hpp>

using namespace postpaddle;
using nlohmann::json;

namespace {

std::string nested(std::size_t depth, const std::string& open, const std::string& close) {
    std::string text;
    for (std::size_t level = 0; level < depth; ++level)
        text += open;
    text += "1";
    for (std::size_t level = 0; level < depth; ++level)
        text += close;
    return text;
}

} // namespace

// Guards against processes that end, as reading, copying or writing a deeply nested value exhausts their
// stack.
TEST_CASE("a value that is deeply nested is malformed") {
    CHECK(base::parse_json(nested(base::max_json_depth, "[", "]")).is_array());
    CHECK(base::parse_json(nested(base::max_json_depth, R"({"a":)", "}")).is_object());
    for (const std::size_t depth : {base::max_json_depth + 1, std::size_t{400'000}}) {
        INFO(depth);
        CHECK(base::parse_json(nested(depth, "[", "]")).is_discarded());
        CHECK(base::parse_json(nested(depth, R"({"a":)", "}")).is_discarded());
        CHECK(base::parse_json(std::string(depth, '[')).is_discarded());
        // An array of one element, an object of one member with an empty name.
        CHECK(base::parse_msgpack(std::string(depth, '\x91') + '\x01').is_discarded());
        CHECK(base::parse_msgpack(nested(depth, std::string("\x81\xa0", 2), "")).is_discarded());
    }
}

TEST_CASE("other values are parsed as by the library") {
    for (const auto* text :
         {R"({"a": [1, -2, 3.5, null, true, {"b": "c", "": []}], "a2": {}, "b": 18446744073709551615})", "[]",
          R"("text")", "7", "[[1],[2,[3]],{}]", R"({"a":1,"a":2})"}) {
        INFO(text);
        const json expected = json::parse(text);
        CHECK(base::parse_json(text) == expected);
        const auto packed = json::to_msgpack(expected);
        CHECK(base::parse_msgpack({reinterpret_cast<const char*>(packed.data()), packed.size()}) == expected);
    }
    json binary = {json::binary({1, 2, 3}), 4};
    std::string packed;
    json::to_msgpack(binary, packed);
    CHECK(base::parse_msgpack(packed) == binary);
}

TEST_CASE("malformed values are discarded, and every access to them fails") {
    for (const auto* text : {"", "[1", "{", R"({"a" 1})", "[1] 2", "1e999", "\"\xff\"", "nul"}) {
        INFO(text);
        const json parsed = base::parse_json(text);
        CHECK(parsed.is_discarded());
        CHECK_THROWS_AS(parsed.at("a"), json::exception);
        CHECK_THROWS_AS(parsed.value("a", 1), json::exception);
    }
    for (const std::string& bytes : {std::string(), std::string("\xdd\xff\xff\xff\xff", 5),
                                     std::string("\xdb\xff\xff\xff\xff", 5), std::string("\xc1", 1)})
        CHECK(base::parse_msgpack(bytes).is_discarded());
}

// Guards against a list that can't be read, as one of the names in it is no Unicode.
TEST_CASE("what is no Unicode is replaced where that is asked for") {
    CHECK(base::parse_json_replacing(R"({"a":"\ud83d\ude00","b":"\\ud83d"})") ==
          json{{"a", "\U0001f600"}, {"b", "\\ud83d"}});
    CHECK(base::parse_json_replacing(R"(["\ud83d","\udc00\ud83d","\ud83d\ud83d\ude00","\\\ud83dx"])") ==
          json{"\ufffd", "\ufffd\ufffd", "\ufffd\U0001f600", "\\\ufffdx"});
    CHECK(base::parse_json_replacing("[\"a\xff\",\"\xe2\x82\"]") == json{"a\ufffd", "\ufffd"});
    for (const auto* text : {"", "{", R"(["\ud8)", R"(["\)", R"(["\ud83d)", "[\"\xff"})
        CHECK(base::parse_json_replacing(text).is_discarded());
}

TEST_CASE("a text that is no UTF-8 is written nonetheless") {
    CHECK(base::write_json(json{{"a", "b\xff"}}) == "{\"a\":\"b\ufffd\"}");
}
