// SPDX-License-Identifier: BSD-2-Clause
#include <platform/newest_listing.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace postpaddle;
using nlohmann::json;

namespace {

std::string item(const std::string& key_json, int offset) {
    return R"({"key":)" + key_json + R"(,"value":"b2Rk","offset":)" + std::to_string(offset) + "}";
}

std::string page(const std::string& items, bool has_more, int end = 9) {
    return R"({"items":[)" + items + R"(],"more":)" + (has_more ? "true" : "false") + R"(,"end":)" +
           std::to_string(end) + "}";
}

std::vector<std::string> keys_of(const platform::newest_listing& listing) {
    std::vector<std::string> keys;
    for (const platform::keyed_record& record : listing.page.records)
        keys.push_back(record.key);
    return keys;
}

/// What a careless store writes for names that are no Unicode.
const std::string lone_surrogate = R"("b\ud83d")";
const std::string no_utf8 = "\"b\xff\"";

} // namespace

TEST_CASE("a listing goes on behind the last key and ends with the last page") {
    platform::newest_listing listing;
    REQUIRE(platform::add_page(listing, page(item(R"("a")", 1) + "," + item(R"("b&c")", 2), true, 5)));
    CHECK(listing.continue_after == "b&c");
    REQUIRE(platform::add_page(listing, page(item(R"("d")", 7), false, 8)));
    CHECK_FALSE(listing.continue_after);
    CHECK(keys_of(listing) == std::vector<std::string>{"a", "b&c", "d"});
    CHECK(listing.page.records[1].value == "odd");
    CHECK(listing.page.end == 5);
}

// Guards against a page that is lost, or taken for the last one, as one of its items can't be read.
TEST_CASE("an item that can't be read costs only itself, wherever it stands") {
    for (const std::string& key :
         {lone_surrogate, no_utf8, std::string(R"("b\udc00\ud83dz")"), std::string(R"("b\\\ud83d")"),
          std::string("7"), std::string("null"), json(std::string(256, 'b')).dump()}) {
        INFO(key);
        const std::string odd = item(key, 3);
        for (const std::string& items : {odd + "," + item(R"("a")", 1) + "," + item(R"("c")", 2),
                                         item(R"("a")", 1) + "," + odd + "," + item(R"("c")", 2),
                                         item(R"("a")", 1) + "," + item(R"("c")", 2) + "," + odd}) {
            platform::newest_listing listing;
            REQUIRE(platform::add_page(listing, page(items, true)));
            CHECK(keys_of(listing) == std::vector<std::string>{"a", "c"});
            CHECK(listing.continue_after == "c");
            REQUIRE(platform::add_page(listing, page(odd, false)));
            CHECK_FALSE(listing.continue_after);
        }
    }
}

TEST_CASE("a pair of surrogates is one character") {
    platform::newest_listing listing;
    REQUIRE(platform::add_page(listing,
                               page(item(lone_surrogate, 1) + "," + item(R"("\ud83d\ude00")", 2), true)));
    CHECK(keys_of(listing) == std::vector<std::string>{"\U0001f600"});
}

TEST_CASE("a page of nothing but names that can't be read is passed by") {
    for (const std::string& key : {lone_surrogate, no_utf8}) {
        platform::newest_listing listing;
        REQUIRE(platform::add_page(listing, page(item(key, 1), true, 4)));
        REQUIRE(listing.continue_after);
        CHECK(*listing.continue_after > "b");
        REQUIRE(platform::add_page(listing, page(item(R"("c")", 2), false, 6)));
        CHECK(keys_of(listing) == std::vector<std::string>{"c"});
        // The first page's, although nothing of it could be read.
        CHECK(listing.page.end == 4);
    }
}

// Guards against a listing without end, and against one that ends where the store says that there is more.
TEST_CASE("a listing that does not move on fails and says so") {
    const std::string first = page(item(R"("a")", 1) + "," + item(R"("b")", 2), true);
    for (const std::string& next :
         {first, page(item(R"("b")", 2), true), page("", true), page("7", true), page(item("7", 3), true)}) {
        INFO(next);
        platform::newest_listing listing;
        REQUIRE(platform::add_page(listing, first));
        const auto added = platform::add_page(listing, next);
        REQUIRE_FALSE(added);
        CHECK(added.error().failure == ports::feed_failure::malformed);
        CHECK(added.error().detail.find("move on") != std::string::npos);
    }
    platform::newest_listing unreadable;
    REQUIRE(platform::add_page(unreadable, page(item(lone_surrogate, 1), true)));
    CHECK_FALSE(platform::add_page(unreadable, page(item(lone_surrogate, 1), true)));
}

TEST_CASE("what is no page fails the listing") {
    for (const auto* body : {"", "{", "[]", "{}", R"({"items":[]})", R"({"items":7,"end":1,"more":false})",
                             R"({"items":{},"end":1,"more":false})", R"({"items":[],"end":-1,"more":false})",
                             R"({"items":[],"end":1})", R"({"items":[],"end":1,"more":"yes"})"}) {
        INFO(body);
        platform::newest_listing listing;
        CHECK_FALSE(platform::add_page(listing, body));
    }
}

TEST_CASE("a listing without end fails once it is larger than any answer may be") {
    platform::newest_listing listing;
    const std::string padding(4UL * 1024 * 1024, ' ');
    int pages = 0;
    while (platform::add_page(listing, page(item(json(std::to_string(pages)).dump(), pages), true) + padding))
        REQUIRE(++pages < 32);
    CHECK(pages >= 15);
}
