// SPDX-License-Identifier: BSD-2-Clause
// Whether a plain upstream is used again after a restart under its id.
#include <decision/instance_choice.h>

#include <catch2/catch.hpp>

using namespace postpaddle;
using namespace std::chrono_literals;

namespace {

const base::time_point now{1h};
constexpr auto response_time = 50ms;

decision::registry_change change_of(const std::string& id, std::uint64_t start_time_ms,
                                    std::uint64_t offset) {
    settings::upstream_entry entry;
    entry.id.value = id;
    entry.service = "service";
    entry.availability_zone.value = "east";
    entry.slots = 8;
    entry.start_time_ms = start_time_ms;
    return {entry.id, entry, offset};
}

} // namespace

// Guards against an estimate that never changes: the expected response time of a new start is 80 ms until it
// has responded, so it gets no request while another upstream with free slots is known to take less.
TEST_CASE("a restarted upstream gets requests while another one is known to be fast and has free slots") {
    decision::instance_table table;
    for (const auto* id : {"one", "two"})
        (void)decision::apply_change(table, change_of(id, 0, 1), decision::registry_condition::healthy);
    for (int sample = 0; sample < 100; ++sample)
        for (auto& [id, known] : table.by_id)
            decision::record_response_time(known, response_time, now);
    (void)decision::apply_change(table, change_of("one", 7, 2), decision::registry_condition::healthy);
    decision::find_instance(table, {"two"})->own.requests = 3;
    std::mt19937_64 random(1);
    int requests = 0;
    for (int request = 0; request < 1'000; ++request) {
        const auto chosen = decision::choose_plain(
            table, {.service = "service", .own_zone = {"east"}, .excluded = {}, .now = now}, random);
        REQUIRE(chosen);
        requests += chosen->value == "one" ? 1 : 0;
        decision::record_response_time(*decision::find_instance(table, *chosen), response_time, now);
    }
    CHECK(requests > 20);
}
