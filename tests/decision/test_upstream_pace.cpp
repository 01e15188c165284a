// SPDX-License-Identifier: BSD-2-Clause
#include <decision/instance_choice.h>
#include <decision/overload/upstream_pace.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <limits>
#include <map>

using namespace postpaddle;
using decision::measurement_confidence;
using settings::engine_stage;
using namespace std::chrono_literals;

namespace {

const base::time_point start{1h};
const settings::engine_capacity capacity = {
    .slots = 16, .kv_tokens = 26'212, .tokens_per_event = 11, .kv_retention = 500ms};
const decision::prompt_size size = {.prompt_tokens = 3'200, .output_tokens = 700};

constexpr std::uint64_t one_host = 1;
constexpr std::uint64_t another_host = 2;

std::string name_of(engine_stage stage, int index) {
    return (stage == engine_stage::prefill ? "p" : "d") + std::to_string(index);
}

/// The same number of prefill and decode engines in one availability zone.
decision::instance_table make_engines(int of_each_stage) {
    decision::instance_table table;
    std::uint64_t offset = 0;
    for (const engine_stage stage : {engine_stage::prefill, engine_stage::decode})
        for (int index = 0; index < of_each_stage; ++index) {
            settings::upstream_entry entry;
            entry.id.value = name_of(stage, index);
            entry.service = "service";
            entry.availability_zone.value = "east";
            entry.stage = stage;
            entry.sequence = 1;
            entry.start_time_ms = 1'000;
            (void)decision::apply_change(table, {entry.id, entry, ++offset},
                                         decision::registry_condition::healthy);
        }
    return table;
}

decision::instance& engine(decision::instance_table& table, engine_stage stage, int index) {
    return *decision::find_instance(table, {name_of(stage, index)});
}

decision::choice_context make_context(base::time_point now) {
    return {.service = "service", .own_zone = {"east"}, .excluded = {}, .now = now, .hold_seconds = 3.4};
}

/// Measurements of other hosts, one each 600 ms per engine as with 121 requests per second at 70 engines.
void measure_all(decision::instance_table& table, const std::function<double(int)>& pace_of, int count,
                 base::time_point& now) {
    for (int round = 0; round < count; ++round) {
        now += 600ms;
        for (auto& [id, known] : table.by_id) {
            const double pace = pace_of(std::stoi(id.value.substr(1)));
            decision::merged_pace& merged =
                known.entry.stage == engine_stage::prefill ? known.pace.prefill : known.pace.decode;
            (void)decision::merge_measurement(merged, pace, now, measurement_confidence::needs_confirmation,
                                              now, round % 2 == 0 ? one_host : another_host);
        }
        decision::apply_learned_paces(table, now);
    }
}

/// How often each engine is chosen by hosts that have the same figures.
std::map<std::string, int> choices_of(const decision::instance_table& table, int hosts,
                                      base::time_point now) {
    std::map<std::string, int> chosen;
    for (int host = 0; host < hosts; ++host) {
        std::mt19937_64 random(host);
        const auto plan = decision::choose_engines(table, make_context(now), capacity, size, random);
        REQUIRE(plan);
        ++chosen[plan->decode.value];
        if (plan->prefill)
            ++chosen[plan->prefill->value];
    }
    return chosen;
}

int sum_of(const std::map<std::string, int>& chosen, const std::function<bool(int)>& is_counted) {
    int sum = 0;
    for (const auto& [id, count] : chosen)
        if (is_counted(std::stoi(id.substr(1))))
            sum += count;
    return sum;
}

double measured_by(const decision::merged_pace& merged, base::time_point now) {
    return decision::current_pace(merged, now);
}

} // namespace

// Load: 140 engines, two of three at 0.7 of the usual time and one at 1.7. Guards against sending as much to
// the slow ones as to the fast ones, and against all hosts choosing the same fast one.
TEST_CASE("65 hosts with the same view spread their requests over the fast engines") {
    auto table = make_engines(70);
    base::time_point now = start;
    const auto is_slow = [](int index) { return index % 3 == 2; };
    measure_all(
        table, [&](int index) { return is_slow(index) ? 1.7 : 0.7; }, 8, now);
    const auto chosen = choices_of(table, 65, now);
    CHECK(sum_of(chosen, is_slow) == 0);
    for (const auto& [id, count] : chosen) {
        INFO(id);
        CHECK(count <= 65 / 6);
    }
    // The slow ones serve what the fast ones have no capacity for.
    for (int index = 0; index < 70; ++index)
        if (!is_slow(index))
            engine(table, engine_stage::decode, index).others = {.requests = 7, .memory_tokens = 26'000};
    for (const auto& [id, count] : choices_of(table, 20, now))
        if (id.starts_with("d"))
            CHECK(is_slow(std::stoi(id.substr(1))));
}

// Load: two of three engines at 1.7 of the usual time and one at 0.7.
TEST_CASE("expected times and slots follow the engines' speeds") {
    auto table = make_engines(3);
    base::time_point now = start;
    std::mt19937_64 random(1);
    const auto before = decision::choose_engines(table, make_context(now), capacity, size, random);
    const auto slots_before = decision::count_decode_slots(table, make_context(now), capacity, size);
    measure_all(
        table, [](int index) { return index == 0 ? 0.7 : 1.7; }, 20, now);
    const double fast = measured_by(engine(table, engine_stage::decode, 0).pace.decode, now);
    const double slow = measured_by(engine(table, engine_stage::decode, 1).pace.decode, now);
    CHECK(fast == Approx(0.7).margin(0.05));
    CHECK(slow == Approx(1.7).margin(0.1));
    const auto after = decision::choose_engines(table, make_context(now), capacity, size, random);
    REQUIRE(before);
    REQUIRE(after);
    CHECK(base::to_seconds(after->expected_prefill) ==
          Approx(fast * base::to_seconds(before->expected_prefill)).epsilon(0.05));
    CHECK(after->expected_first_event < before->expected_first_event);
    const auto slots = decision::count_decode_slots(table, make_context(now), capacity, size);
    CHECK(slots.total == Approx(slots_before.total / 3 * (1 / fast + 2 / slow)));
    // A free slot takes one request, whatever the engine's speed: none stays free while requests wait.
    CHECK(slots.free_now == slots_before.free_now);
    CHECK(slots_before.free_now == slots_before.free);
    // A slot of a fast engine takes one request now, like any other.
    CHECK(slots.free == Approx(slots_before.free / 3 * (1 + 2 / slow)));
}

// Load: half of the engines run at a third of their speed from one moment on, and recover later. Guards
// against noticing it only when callers time out (14 s), and against sending a recovered engine its full
// share at once.
TEST_CASE("engines that turn slow lose their work within seconds and get it back gradually") {
    auto table = make_engines(70);
    base::time_point now = start;
    const auto is_slow = [](int index) { return index % 2 == 0; };
    measure_all(
        table, [](int) { return 1.0; }, 10, now);
    CHECK(sum_of(choices_of(table, 200, now), is_slow) > 100);
    measure_all(
        table, [&](int index) { return is_slow(index) ? 3.0 : 1.0; }, 3, now);
    CHECK(now - start < 10s);
    CHECK(sum_of(choices_of(table, 200, now), is_slow) == 0);
    std::vector<double> values;
    for (int round = 0; round < 20; ++round) {
        measure_all(
            table, [](int) { return 1.0; }, 1, now);
        values.push_back(measured_by(engine(table, engine_stage::decode, 0).pace.decode, now));
    }
    CHECK(std::ranges::is_sorted(values, std::greater<>{}));
    CHECK(values.front() > 1.5);
    CHECK(values.back() < 1.2);
    CHECK(sum_of(choices_of(table, 200, now), is_slow) > 50);
}

// Guards against avoiding an engine for ever that is no longer measured because it is avoided.
TEST_CASE("a value without new measurements loses weight and is forgotten after 30 s") {
    decision::merged_pace merged;
    (void)decision::merge_measurement(merged, 3, start, measurement_confidence::certain, start);
    CHECK(decision::current_pace(merged, start + 10s) == Approx(3));
    CHECK(decision::current_pace(merged, start + 20s) == Approx(2));
    CHECK(decision::current_pace(merged, start + 30s) == Approx(1));
    // A measurement that took that long to arrive says nothing any more.
    CHECK_FALSE(decision::merge_measurement(merged, 5, start, measurement_confidence::certain, start + 31s));
}

// Load: one host that hears nothing, and one that reports a wrong value.
TEST_CASE("a host's own event intervals take effect at once, and others' values once another one confirms") {
    decision::merged_pace own;
    (void)decision::merge_measurement(own, 3, start, measurement_confidence::certain, start);
    CHECK(decision::current_pace(own, start) == Approx(3));
    decision::merged_pace others;
    (void)decision::merge_measurement(others, 20, start, measurement_confidence::needs_confirmation, start,
                                      one_host);
    CHECK_FALSE(decision::is_notable(decision::current_pace(others, start)));
    SECTION("confirmed") {
        (void)decision::merge_measurement(others, 3, start + 1s, measurement_confidence::needs_confirmation,
                                          start + 1s, another_host);
        CHECK(decision::current_pace(others, start + 1s) == Approx(3));
    }
    SECTION("repeated by the same host") {
        (void)decision::merge_measurement(others, 20, start + 1s, measurement_confidence::needs_confirmation,
                                          start + 1s, one_host);
        CHECK(decision::current_pace(others, start + 1s) < 1.5);
    }
    SECTION("contradicted") {
        (void)decision::merge_measurement(others, 1, start + 1s, measurement_confidence::needs_confirmation,
                                          start + 1s, another_host);
        CHECK_FALSE(decision::is_notable(decision::current_pace(others, start + 1s)));
    }
    SECTION("confirmed too late") {
        (void)decision::merge_measurement(others, 3, start + 9s, measurement_confidence::needs_confirmation,
                                          start + 9s, another_host);
        CHECK(decision::current_pace(others, start + 9s) < 1.5);
    }
}

TEST_CASE("a host's own prefills confirm each other") {
    decision::merged_pace own;
    for (const base::time_point now : {start, start + 1s})
        (void)decision::merge_measurement(own, 3, now, measurement_confidence::needs_confirmation, now);
    CHECK(decision::current_pace(own, start + 1s) == Approx(3));
}

TEST_CASE("corrupt measurements are ignored or clamped") {
    decision::merged_pace merged;
    for (const double corrupt :
         {0.0, -1.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity(), -1e9})
        CHECK_FALSE(
            decision::merge_measurement(merged, corrupt, start, measurement_confidence::certain, start));
    CHECK(merged == decision::merged_pace{});
    (void)decision::merge_measurement(merged, 1e9, start + 1h, measurement_confidence::certain, start);
    CHECK(merged.value == decision::max_pace);
    CHECK(merged.measured_at == start);
    (void)decision::merge_measurement(merged, 1e-9, start, measurement_confidence::certain, start);
    CHECK(merged.value >= decision::min_pace);
}

TEST_CASE("a restarted engine has no pace") {
    auto table = make_engines(3);
    base::time_point now = start;
    measure_all(
        table, [](int index) { return index == 0 ? 3.0 : 1.0; }, 3, now);
    decision::instance& slow = engine(table, engine_stage::decode, 0);
    REQUIRE(slow.pace.in_use.decode == Approx(3));
    settings::upstream_entry entry = slow.entry;
    entry.start_time_ms += 1;
    CHECK(decision::apply_change(table, {entry.id, entry, 100}, decision::registry_condition::healthy) ==
          decision::change_effect::restarted);
    CHECK(slow.pace == decision::learned_pace{});
}

// Guards against a change of behaviour in deployments whose engines are alike.
TEST_CASE("engines that differ by less than a fifth, and engines that all turn slow, are served as before") {
    const auto unmeasured = make_engines(12);
    for (const double slowdown : {1.0, 2.5}) {
        auto table = make_engines(12);
        base::time_point now = start;
        measure_all(
            table, [&](int index) { return slowdown * (0.9 + 0.02 * index); }, 30, now);
        for (const auto& [id, known] : table.by_id)
            CHECK(known.pace.in_use == decision::engine_pace{});
        for (unsigned seed = 0; seed < 50; ++seed) {
            std::mt19937_64 left(seed);
            std::mt19937_64 right(seed);
            CHECK(decision::choose_engines(table, make_context(now), capacity, size, left) ==
                  decision::choose_engines(unmeasured, make_context(now), capacity, size, right));
            CHECK(left == right);
        }
        const auto slots = decision::count_decode_slots(table, make_context(now), capacity, size);
        const auto expected = decision::count_decode_slots(unmeasured, make_context(now), capacity, size);
        CHECK(slots.total == expected.total);
        CHECK(slots.free == expected.free);
    }
}

// Guards against paces that stay in use for good while the registry can't be read.
TEST_CASE("paces are not in use while no engine of the service is listed") {
    auto table = make_engines(3);
    base::time_point now = start;
    measure_all(
        table, [](int index) { return index == 0 ? 3.0 : 1.0; }, 3, now);
    REQUIRE(engine(table, engine_stage::decode, 0).pace.in_use.decode == Approx(3));
    for (auto& [id, known] : table.by_id)
        known.state = decision::listing::unlisted;
    decision::apply_learned_paces(table, now);
    for (const auto& [id, known] : table.by_id)
        CHECK(known.pace.in_use == decision::engine_pace{});
}

// Load: a deployment with many plain upstreams and engines of other cells.
TEST_CASE("plain upstreams and engines of other cells have no pace in use") {
    auto table = make_engines(3);
    base::time_point now = start;
    measure_all(
        table, [](int index) { return index == 0 ? 3.0 : 1.0; }, 3, now);
    const auto own = decision::apply_learned_paces(table, now);
    CHECK(own.has_engines);
    REQUIRE(own.ranges.contains("service"));
    CHECK(own.ranges.at("service").decode.slowest == Approx(3));
    CHECK(own.ranges.at("service").decode.measured == 3);
    CHECK(own.ranges.at("service").decode.with_own_pace == 1);
    for (auto& [id, known] : table.by_id)
        known.is_remote = true;
    const auto remote = decision::apply_learned_paces(table, now);
    CHECK(remote.has_engines);
    CHECK(remote.ranges.empty());
    for (auto& [id, known] : table.by_id) {
        CHECK(known.pace.in_use == decision::engine_pace{});
        known.is_remote = false;
        known.entry.stage = engine_stage::none;
    }
    CHECK_FALSE(decision::apply_learned_paces(table, now).has_engines);
}

TEST_CASE("the switch restores the choice without paces") {
    auto table = make_engines(3);
    base::time_point now = start;
    measure_all(
        table, [](int index) { return index == 0 ? 3.0 : 1.0; }, 3, now);
    decision::ignore_learned_paces(table);
    for (const auto& [id, known] : table.by_id)
        CHECK(known.pace.in_use == decision::engine_pace{});
}

// Load: prompts that queue behind others. Guards against taking a queue for a slow engine.
TEST_CASE("the prefill time of a prompt that queued says only what its queue can't explain") {
    decision::engine_speed speed;
    CHECK_FALSE(decision::measure_prefill(speed, 3'200, 0, 0.15));
    for (int read = 0; read < 60; ++read)
        decision::record_unqueued_prefill(speed, 1'000 + 100 * (read % 40),
                                          0.05 + (1'000 + 100 * (read % 40)) / 33'000.0);
    const double alone = decision::unqueued_prefill_seconds(speed, 3'200);
    const auto unqueued = decision::measure_prefill(speed, 3'200, 0, 1.7 * alone);
    REQUIRE(unqueued);
    CHECK(decision::closest_within(*unqueued, 1) == Approx(1.7));
    const double queue = decision::seconds_for_tokens(speed, 3'200);
    for (const double part_done : {0.0, 0.5, 1.0}) {
        const auto queued = decision::measure_prefill(speed, 3'200, 3'200, alone + (1 - part_done) * queue);
        REQUIRE(queued);
        CHECK(decision::closest_within(*queued, 1) == Approx(1));
    }
    const auto slow = decision::measure_prefill(speed, 3'200, 3'200, 3 * (alone + queue));
    REQUIRE(slow);
    CHECK(decision::closest_within(*slow, 1) == Approx(3));
    CHECK_FALSE(decision::measure_prefill(speed, 3'200, 0, -1));
}

// Load: a host with a small part of a core whose process is not run in time.
TEST_CASE("a host that is late itself measures no engine") {
    decision::timer_delays delays;
    base::time_point now = start;
    for (int tick = 0; tick < 100; ++tick, now += 25ms)
        decision::record_timer(delays, now, now + 25ms);
    CHECK(decision::is_on_time(delays, now - 500ms, now));
    decision::record_timer(delays, now + 80ms, now + 105ms);
    CHECK_FALSE(decision::is_on_time(delays, now - 400ms, now + 100ms));
    CHECK(decision::is_on_time(delays, now + 81ms, now + 100ms));
    // The delay of a timer that is due and has not fired yet counts as well.
    CHECK_FALSE(decision::is_on_time(delays, now + 81ms, now + 200ms));
    now += 1min;
    decision::record_timer(delays, now, now + 25ms);
    decision::record_timer(delays, now + 25ms, now + 50ms);
    CHECK(delays.recent.size() == 1);
}
