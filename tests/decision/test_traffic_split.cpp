// SPDX-License-Identifier: BSD-2-Clause
#include <base/hashing.h>
#include <decision/traffic_split.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace postpaddle;
using decision::split_history;
using decision::traffic_split;

namespace {

constexpr int keys = 20'000;

std::uint64_t key_of(int number) { return base::hash64("content", static_cast<std::uint64_t>(number)); }

std::string first_version(const traffic_split& split, std::uint64_t key) {
    return decision::versions_by_preference(split, key).at(0);
}

double share_of(const traffic_split& split, const std::string& version) {
    int assigned = 0;
    for (int number = 0; number < keys; ++number)
        assigned += first_version(split, key_of(number)) == version ? 1 : 0;
    return static_cast<double>(assigned) / keys;
}

/// A key whose first version under the split is that one.
std::uint64_t key_assigned_to(const traffic_split& split, const std::string& version) {
    int number = 0;
    while (first_version(split, key_of(number)) != version)
        ++number;
    return key_of(number);
}

} // namespace

// Guards against a version that gets more streams than its engines have slots for.
TEST_CASE("shares of the keys follow the weights") {
    constexpr double margin = 0.015;
    const traffic_split split{{{"v1", 1}, {"v2", 3}, {"v3", 4}}};
    CHECK(share_of(split, "v1") == Approx(0.125).margin(margin));
    CHECK(share_of(split, "v2") == Approx(0.375).margin(margin));
    CHECK(share_of(split, "v3") == Approx(0.5).margin(margin));
    const traffic_split uneven{{{"v1", 1}, {"v2", 999}}};
    CHECK(share_of(uneven, "v1") == Approx(0.001).margin(0.001));
    const traffic_split large{{{"v1", 4'000'000'000}, {"v2", 4'000'000'000}}};
    CHECK(share_of(large, "v1") == Approx(0.5).margin(margin));
}

// Guards against a release that moves more keys than it must, each of which then needs records.
TEST_CASE("a change of one weight moves keys only from or to that version") {
    const traffic_split before{{{"v1", 4}, {"v2", 4}, {"v3", 4}}};
    const traffic_split more{{{"v1", 4}, {"v2", 4}, {"v3", 8}}};
    const traffic_split none{{{"v1", 4}, {"v2", 4}}};
    int gained = 0;
    int lost = 0;
    for (int number = 0; number < keys; ++number) {
        const std::string version = first_version(before, key_of(number));
        const std::string with_more = first_version(more, key_of(number));
        const std::string without = first_version(none, key_of(number));
        if (with_more != version) {
            REQUIRE(with_more == "v3");
            ++gained;
        }
        if (without != version) {
            REQUIRE(version == "v3");
            ++lost;
        }
    }
    CHECK(gained > keys / 10);
    CHECK(lost > keys / 4);
}

// Guards against a host that orders the other versions of a key differently because of one that it lacks.
TEST_CASE("the order of two versions doesn't depend on a third") {
    const traffic_split two{{{"v1", 4}, {"v2", 7}}};
    const traffic_split three{{{"v1", 4}, {"v2", 7}, {"v3", 5}}};
    for (int number = 0; number < 1'000; ++number) {
        auto versions = decision::versions_by_preference(three, key_of(number));
        REQUIRE(versions.size() == 3);
        std::erase(versions, "v3");
        REQUIRE(versions == decision::versions_by_preference(two, key_of(number)));
    }
}

TEST_CASE("requests with the same content are assigned alike") {
    const traffic_split split{{{"v1", 4}, {"v2", 7}}};
    const traffic_split same{{{"v2", 7}, {"v1", 4}}};
    for (int number = 0; number < 1'000; ++number)
        REQUIRE(decision::versions_by_preference(split, key_of(number)) ==
                decision::versions_by_preference(same, key_of(number)));
}

// Hosts of all software versions have to assign a key alike: a change of the function is a change of the
// format.
TEST_CASE("keys have a fixed version") {
    const traffic_split split{{{"v1", 4}, {"v2", 4}, {"v3", 4}}};
    std::string versions;
    for (const std::uint64_t key : {0ULL, 1ULL, 2ULL, 3ULL, 0xffff'ffff'ffff'ffffULL})
        for (const std::string& version : decision::versions_by_preference(split, key))
            versions += version + " ";
    CHECK(versions == "v3 v1 v2 v2 v1 v3 v3 v1 v2 v3 v1 v2 v2 v1 v3 ");
}

TEST_CASE("a version without weight is assigned nothing") {
    const traffic_split split{{{"v1", 0}, {"v2", 1}}};
    for (int number = 0; number < 1'000; ++number)
        REQUIRE(decision::versions_by_preference(split, key_of(number)) == std::vector<std::string>{"v2"});
    CHECK(decision::versions_by_preference({}, 1).empty());
    CHECK(decision::versions_by_preference({{{"v1", 0}}}, 1).empty());
    CHECK(decision::assigned_versions({{{}, {{{"v1", 0}}}}}, 1).empty());
    CHECK(decision::versions_in({{split}}) == std::set<std::string>{"v1", "v2"});
}

// Guards against a stream without a record whose version another host derives differently.
TEST_CASE("a version is derivable if every split assigns it") {
    const traffic_split old{{{"v1", 4}, {"v2", 4}}};
    const traffic_split newest{{{"v1", 4}, {"v2", 4}, {"v3", 8}}};
    const split_history history{{old, newest}};
    int derivable = 0;
    for (int number = 0; number < keys; ++number) {
        const std::uint64_t key = key_of(number);
        const std::set<std::string> assigned = {first_version(old, key), first_version(newest, key)};
        REQUIRE(decision::assigned_versions(history, key) == assigned);
        for (const char* const version : {"v1", "v2", "v3"})
            REQUIRE(decision::is_derivable(history, key, version) ==
                    (assigned == std::set<std::string>{version}));
        derivable += assigned.size() == 1 ? 1 : 0;
    }
    // The new version took half of the keys.
    CHECK(derivable > keys * 2 / 5);
    CHECK(derivable < keys * 3 / 5);
}

TEST_CASE("nothing is derivable without splits") {
    CHECK_FALSE(decision::is_derivable({}, 1, "v1"));
    CHECK_FALSE(decision::is_derivable({{{}}}, 1, "v1"));
    CHECK_FALSE(decision::is_derivable({}, 1, ""));
    CHECK_FALSE(decision::is_derivable({{{{{"v1", 0}}}}}, 1, "v1"));
    const traffic_split split{{{"v1", 1}, {"v2", 1}}};
    const std::uint64_t key = key_assigned_to(split, "v1");
    CHECK(decision::is_derivable({{split}}, key, "v1"));
    CHECK_FALSE(decision::is_derivable({{split}}, key, "v2"));
    CHECK_FALSE(decision::is_derivable({{split}}, key, "v3"));
}

TEST_CASE("the first split has the capacity as its weights") {
    CHECK(decision::next_split(std::nullopt, {{"v1", 8}, {"v2", 4}}) ==
          traffic_split{{{"v1", 8}, {"v2", 4}}});
    CHECK(decision::next_split(std::nullopt, {{"v1", 8}, {"v2", 0}}) == traffic_split{{{"v1", 8}}});
    CHECK_FALSE(decision::next_split(std::nullopt, {}));
    CHECK_FALSE(decision::next_split(std::nullopt, {{"v1", 0}}));
}

// Guards against splits that follow each small change of the capacity.
TEST_CASE("a split is followed by another once it no longer fits") {
    const traffic_split newest{{{"v1", 10}, {"v2", 10}}};
    CHECK_FALSE(decision::next_split(newest, {{"v1", 10}, {"v2", 10}}));
    SECTION("the whole capacity changes") {
        CHECK_FALSE(decision::next_split(newest, {{"v1", 99}, {"v2", 99}}));
    }
    SECTION("a share changes a little") {
        CHECK_FALSE(decision::next_split(newest, {{"v1", 10}, {"v2", 8}}));
    }
    SECTION("a share changes much") {
        CHECK(decision::next_split(newest, {{"v1", 10}, {"v2", 6}}) ==
              traffic_split{{{"v1", 10}, {"v2", 6}}});
    }
    SECTION("a version comes, however small") {
        CHECK(decision::next_split(newest, {{"v1", 100}, {"v2", 100}, {"v3", 1}}) ==
              traffic_split{{{"v1", 100}, {"v2", 100}, {"v3", 1}}});
    }
    SECTION("a version goes") {
        CHECK(decision::next_split(newest, {{"v1", 10}}) == traffic_split{{{"v1", 10}}});
        CHECK(decision::next_split(newest, {{"v1", 10}, {"v2", 0}}) == traffic_split{{{"v1", 10}}});
    }
    SECTION("all versions go") { CHECK_FALSE(decision::next_split(newest, {})); }
    SECTION("all versions are replaced") {
        CHECK(decision::next_split(newest, {{"v3", 2}}) == traffic_split{{{"v3", 2}}});
    }
}
