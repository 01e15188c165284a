// SPDX-License-Identifier: BSD-2-Clause
#include <decision/instance_choice.h>
#include <decision/software_versions.h>

#include <catch2/catch.hpp>

using namespace postpaddle;
using namespace std::chrono_literals;
using settings::engine_stage;

namespace {

const base::time_point start{1h};
constexpr base::duration window = 30s;
constexpr base::duration settling_time = 3s;
const settings::engine_capacity capacity = {
    .slots = 128, .kv_tokens = 60'000, .tokens_per_event = 11, .kv_retention = 500ms};

settings::upstream_entry make_entry(const std::string& id, const std::string& version,
                                    engine_stage stage = engine_stage::decode) {
    settings::upstream_entry entry;
    entry.id.value = id;
    entry.service = "engines";
    entry.software_version = version;
    entry.address = "127.0.0.1:1";
    entry.availability_zone.value = "east";
    entry.slots = 8;
    entry.stage = stage;
    entry.sequence = 1;
    return entry;
}

/// A registry and what a host remembers of its versions.
struct versions_model {
    decision::instance_table table;
    decision::software_versions versions;
    std::uint64_t offset = 0;

    void apply(const decision::registry_change& change, base::time_point now) {
        if (const auto* const before = decision::find_instance(this->table, change.id))
            decision::record_version(this->versions, before->entry, now);
        if (change.entry)
            decision::record_version(this->versions, *change.entry, now);
        (void)decision::apply_change(this->table, change, decision::registry_condition::healthy);
    }
    void add(const settings::upstream_entry& entry, base::time_point now) {
        this->apply({entry.id, entry, ++this->offset}, now);
    }
    void remove(const std::string& id, base::time_point now) {
        this->apply({{id}, std::nullopt, ++this->offset}, now);
    }
    [[nodiscard]] std::optional<std::string> sole(base::time_point now) const {
        return decision::sole_version(this->versions, this->table, "engines", window, now);
    }
    [[nodiscard]] std::set<std::string> unsettled(base::time_point now) const {
        return decision::unsettled_versions(this->versions, this->table, "engines", settling_time, now);
    }
};

versions_model make_model() {
    versions_model model;
    model.add(make_entry("d1", "v1"), start);
    model.versions.known_since = start;
    return model;
}

} // namespace

// Guards against a host that continues a stream by a guess: another version may have begun it.
TEST_CASE("a service's sole version is only known after there has been no other for the whole window") {
    versions_model model = make_model();
    CHECK_FALSE(model.sole(start + window - 1s));
    CHECK(model.sole(start + window) == "v1");
    model.add(make_entry("d2", "v2"), start + window);
    CHECK_FALSE(model.sole(start + 2 * window));
    model.remove("d2", start + 2 * window);
    CHECK_FALSE(model.sole(start + 3 * window - 1s));
    decision::remove_gone(model.table);
    model.table.by_id.erase({"d2"});
    CHECK_FALSE(model.sole(start + 3 * window - 1s));
    CHECK(model.sole(start + 3 * window) == "v1");
}

TEST_CASE("upstreams whose version is unknown make a service's sole version unknown") {
    versions_model model = make_model();
    model.add(make_entry("d2", ""), start);
    CHECK_FALSE(model.sole(start + window));
}

// Guards against streams that begin at a version that a host with an up-to-date registry doesn't know yet.
TEST_CASE("streams begin at a new version only after a while, unless there is no other") {
    versions_model model = make_model();
    CHECK(model.unsettled(start).empty());
    model.add(make_entry("d2", "v2"), start + 10s);
    CHECK(model.unsettled(start + 10s) == std::set<std::string>{"v2"});
    CHECK(model.unsettled(start + 10s + settling_time).empty());
    model.add(make_entry("d3", "v3"), start + 20s);
    model.remove("d1", start + 20s);
    model.remove("d2", start + 20s);
    CHECK(model.unsettled(start + 20s).empty());
}

// Guards against a prompt that one version has read and another version continues.
TEST_CASE("both engines of a request have the same software version where there is such a pair") {
    versions_model model;
    model.add(make_entry("p1", "v1", engine_stage::prefill), start);
    model.add(make_entry("d2", "v2"), start);
    std::mt19937_64 random(3);
    const decision::choice_context context = {
        .service = "engines", .own_zone = {"east"}, .excluded = {}, .now = start};
    const decision::prompt_size size = {.prompt_tokens = 2'000, .output_tokens = 50};
    const auto choose = [&](const decision::choice_context& of) {
        return decision::choose_engines(model.table, of, capacity, size, random);
    };
    // Better a pair of two versions than none.
    CHECK(choose(context)->prefill == base::upstream_id{"p1"});
    model.add(make_entry("d1", "v1"), start);
    // The engine of the pair is busier.
    decision::find_instance(model.table, {"d1"})->own = {.requests = 20, .memory_tokens = 20'000};
    for (int round = 0; round < 20; ++round) {
        const auto plan = choose(context);
        REQUIRE(plan);
        if (plan->prefill)
            CHECK(plan->decode.value == "d1");
    }
    decision::choice_context restricted = context;
    restricted.software_version = "v2";
    CHECK(choose(restricted)->decode.value == "d2");
    CHECK_FALSE(choose(restricted)->prefill);
    restricted.software_version = "v3";
    CHECK_FALSE(choose(restricted));
    decision::choice_context unsettled = context;
    unsettled.unsettled_versions = {"v1"};
    CHECK(choose(unsettled)->decode.value == "d2");
}
