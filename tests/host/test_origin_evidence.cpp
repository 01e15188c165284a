// SPDX-License-Identifier: BSD-2-Clause
#include <host/origin_evidence.h>

#include <catch2/catch.hpp>

using namespace postpaddle;
using host::origin_evidence;
using host::stream_origin;

namespace {

const stream_origin first_origin = {.service = "engines", .software_version = "v1"};
const stream_origin second_origin = {.service = "engines", .software_version = "v2"};
const stream_origin other_service = {.service = "others", .software_version = "v1"};
const stream_origin no_version = {.service = "engines", .software_version = ""};

using origins = std::set<stream_origin>;

struct resolution_case {
    std::string_view name;
    origin_evidence evidence;
    std::optional<stream_origin> expected;
};

origin_evidence named(std::optional<origins> unrecorded, std::optional<stream_origin> by_id,
                      origins by_content = {}) {
    return {.unrecorded = std::move(unrecorded),
            .recorded = {.by_id = std::move(by_id), .by_content = std::move(by_content)},
            .is_named = true};
}

origin_evidence unnamed(std::optional<origins> unrecorded, origins by_content = {}) {
    return {.unrecorded = std::move(unrecorded),
            .recorded = {.by_id = {}, .by_content = std::move(by_content)},
            .is_named = false};
}

} // namespace

// Guards against a stream that goes on at a version that may not have begun it, and against one that is
// refused although only one can have.
TEST_CASE("what began a stream is known if nothing else can have") {
    const std::vector<resolution_case> cases = {
        {"named, recorded", named(origins{second_origin}, first_origin), first_origin},
        {"named, recorded, others with its content",
         named(origins{second_origin}, first_origin, {first_origin, second_origin}), first_origin},
        {"named, recorded, anything could be unrecorded", named(std::nullopt, first_origin), first_origin},
        {"named, id used twice", named(origins{first_origin}, stream_origin{}), std::nullopt},
        {"named, recorded without a version", named(origins{first_origin}, no_version), std::nullopt},
        {"named, no record, one assigned", named(origins{first_origin}, std::nullopt), first_origin},
        // It may be one of those, if its caller names another attempt than the first.
        {"named, no record, others with its content",
         named(origins{first_origin}, std::nullopt, {second_origin}), std::nullopt},
        {"named, no record, others of the same origin",
         named(origins{first_origin}, std::nullopt, {first_origin}), first_origin},
        {"named, no record, two assigned", named(origins{first_origin, second_origin}, std::nullopt),
         std::nullopt},
        {"named, no record, two services", named(origins{first_origin, other_service}, std::nullopt),
         std::nullopt},
        {"named, no record, none assigned", named(origins{}, std::nullopt), std::nullopt},
        {"named, no record, assigned without a version", named(origins{no_version}, std::nullopt),
         std::nullopt},
        {"named, no record, anything could be unrecorded", named(std::nullopt, std::nullopt, {first_origin}),
         std::nullopt},
        {"unnamed, one assigned", unnamed(origins{first_origin}), first_origin},
        {"unnamed, the same recorded", unnamed(origins{first_origin}, {first_origin}), first_origin},
        {"unnamed, another recorded", unnamed(origins{first_origin}, {second_origin}), std::nullopt},
        {"unnamed, two assigned", unnamed(origins{first_origin, second_origin}), std::nullopt},
        {"unnamed, two assigned, one recorded", unnamed(origins{first_origin, second_origin}, {first_origin}),
         std::nullopt},
        {"unnamed, none assigned, one recorded", unnamed(origins{}, {first_origin}), first_origin},
        {"unnamed, none assigned", unnamed(origins{}), std::nullopt},
        {"unnamed, recorded without a version", unnamed(origins{first_origin}, {no_version}), std::nullopt},
        {"unnamed, anything could be unrecorded", unnamed(std::nullopt, {first_origin}), std::nullopt},
    };
    for (const resolution_case& item : cases) {
        INFO(item.name);
        CHECK(host::resolve_origin(item.evidence) == item.expected);
    }
}

// Guards against a caller without an id that is taken for the attempt of a record that was found.
TEST_CASE("a record by id counts only for a caller that names its attempt") {
    auto evidence = named(origins{first_origin}, second_origin);
    evidence.is_named = false;
    CHECK(host::resolve_origin(evidence) == first_origin);
}
