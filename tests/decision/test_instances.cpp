// SPDX-License-Identifier: BSD-2-Clause
#include <decision/instance_choice.h>

#include <catch2/catch.hpp>

using namespace postpaddle;
using decision::listing;
using decision::registry_condition;
using settings::engine_stage;
using namespace std::chrono_literals;

namespace {

const base::time_point now{1h};
const settings::engine_capacity capacity = {
    .slots = 128, .kv_tokens = 60'000, .tokens_per_event = 11, .kv_retention = 500ms};

settings::upstream_entry make_entry(const std::string& id, engine_stage stage = engine_stage::none,
                                    const std::string& zone = "east", std::uint64_t sequence = 1) {
    settings::upstream_entry entry;
    entry.id.value = id;
    entry.service = "service";
    entry.address = "127.0.0.1:1";
    entry.availability_zone.value = zone;
    entry.slots = 6;
    entry.stage = stage;
    entry.sequence = sequence;
    return entry;
}

decision::registry_change make_change(const settings::upstream_entry& entry, std::uint64_t offset) {
    return {entry.id, entry, offset};
}

decision::instance_table make_table(const std::vector<settings::upstream_entry>& entries) {
    decision::instance_table table;
    std::uint64_t offset = 0;
    for (const auto& entry : entries)
        (void)decision::apply_change(table, make_change(entry, ++offset), registry_condition::healthy);
    return table;
}

decision::choice_context make_context() {
    return {.service = "service", .own_zone = {"east"}, .excluded = {}, .now = now};
}

} // namespace

TEST_CASE("late heartbeats don't relist a leaving instance") {
    auto table = make_table({make_entry("one")});
    auto leaving = make_entry("one");
    leaving.is_leaving = true;
    CHECK(decision::apply_change(table, make_change(leaving, 5), registry_condition::healthy) ==
          decision::change_effect::relisted);
    (void)decision::apply_change(table, make_change(make_entry("one", engine_stage::none, "east", 9), 6),
                                 registry_condition::healthy);
    CHECK(decision::find_instance(table, {"one"})->state == listing::leaving);
}

TEST_CASE("a server that restarts under its id is a new instance without earlier state") {
    std::mt19937_64 random(1);
    const auto started = [](std::uint64_t start_time_ms, std::uint64_t sequence) {
        auto entry = make_entry("one", engine_stage::decode, "east", sequence);
        entry.start_time_ms = start_time_ms;
        return entry;
    };
    auto leaving = started(1'000, 40);
    leaving.is_leaving = true;
    auto table = make_table({leaving});
    decision::instance& known = *decision::find_instance(table, {"one"});
    known.own = {.requests = 3, .memory_tokens = 9'000, .prompt_tokens = 100};
    known.others = {.requests = 2};
    known.is_remote = true;
    decision::record_outcome(known, decision::attempt_outcome::exited, now);
    decision::record_refusal(known, 5'000, now);
    CHECK(decision::apply_change(table, make_change(started(2'000, 1), 5), registry_condition::healthy) ==
          decision::change_effect::restarted);
    CHECK(known.state == listing::listed);
    CHECK(known.own == decision::instance_use{});
    CHECK(known.others == decision::instance_use{});
    CHECK_FALSE(decision::is_avoided(known, now));
    CHECK(decision::unreported_memory(known, now) == 0);
    CHECK(known.is_remote);
    SECTION("a late record of the earlier start is ignored") {
        CHECK(decision::apply_change(table, make_change(leaving, 6), registry_condition::healthy) ==
              decision::change_effect::none);
        CHECK(known.state == listing::listed);
        CHECK(known.entry.start_time_ms == 2'000);
    }
    SECTION("a vanished instance is listed again with its next start, whose heartbeat sequence starts over") {
        (void)decision::apply_change(table, {{"one"}, std::nullopt, 6}, registry_condition::healthy);
        CHECK(known.state == listing::vanished);
        (void)decision::apply_change(table, make_change(started(2'000, 1), 7), registry_condition::healthy);
        CHECK(known.state == listing::vanished);
        (void)decision::apply_change(table, make_change(started(3'000, 1), 8), registry_condition::healthy);
        CHECK(known.state == listing::listed);
    }
}

TEST_CASE("an entry that can't be parsed leaves its instance unchanged") {
    auto table = make_table({make_entry("one"), make_entry("two")});
    (void)decision::apply_snapshot(table, {.entries = {}, .unreadable = {{"one"}}, .end = 40},
                                   registry_condition::healthy);
    CHECK(decision::find_instance(table, {"one"})->state == listing::listed);
    CHECK(decision::find_instance(table, {"two"})->state == listing::vanished);
}

TEST_CASE("an older registry record is ignored") {
    auto table = make_table({make_entry("one")});
    (void)decision::apply_change(table, {{"one"}, std::nullopt, 9}, registry_condition::healthy);
    (void)decision::apply_change(table, make_change(make_entry("one"), 4), registry_condition::healthy);
    CHECK(decision::find_instance(table, {"one"})->state == listing::vanished);
    SECTION("a heartbeat from before the removal is ignored") {
        (void)decision::apply_change(table, make_change(make_entry("one"), 10), registry_condition::healthy);
        CHECK(decision::find_instance(table, {"one"})->state == listing::vanished);
    }
    SECTION("a newer heartbeat lists it again") {
        (void)decision::apply_change(table, make_change(make_entry("one", engine_stage::none, "east", 2), 10),
                                     registry_condition::healthy);
        CHECK(decision::find_instance(table, {"one"})->state == listing::listed);
    }
}

// Guards against an upstream that left and is listed again by a listing that is behind the one that lacked
// it.
TEST_CASE("a listing older than one that lacked an instance doesn't list it again") {
    auto table = make_table({make_entry("one")});
    const auto renewed = make_change(make_entry("one", engine_stage::none, "east", 2), 28);
    // Its renewal and its removal both came before the listing's end.
    (void)decision::apply_snapshot(table, {.entries = {}, .unreadable = {}, .end = 30},
                                   registry_condition::healthy);
    CHECK(decision::find_instance(table, {"one"})->state == listing::vanished);
    (void)decision::apply_snapshot(table, {.entries = {renewed}, .unreadable = {}, .end = 29},
                                   registry_condition::healthy);
    CHECK(decision::find_instance(table, {"one"})->state == listing::vanished);
    // What comes after the listing that lacked it does.
    (void)decision::apply_change(table, make_change(make_entry("one", engine_stage::none, "east", 3), 30),
                                 registry_condition::healthy);
    CHECK(decision::find_instance(table, {"one"})->state == listing::listed);
}

TEST_CASE(
    "instances missing from a registry snapshot have vanished, unless they are newer than the snapshot") {
    auto table = make_table({make_entry("one"), make_entry("two")});
    (void)decision::apply_change(table, make_change(make_entry("three"), 50), registry_condition::healthy);
    (void)decision::apply_snapshot(
        table, {.entries = {make_change(make_entry("two"), 2)}, .unreadable = {}, .end = 40},
        registry_condition::healthy);
    CHECK(decision::find_instance(table, {"one"})->state == listing::vanished);
    CHECK(decision::find_instance(table, {"two"})->state == listing::listed);
    CHECK(decision::find_instance(table, {"three"})->state == listing::listed);
}

TEST_CASE("an instance that the registry lost while it was failing is used only if none is listed") {
    std::mt19937_64 random(1);
    auto table = make_table({make_entry("one"), make_entry("two")});
    (void)decision::apply_change(table, {{"one"}, std::nullopt, 9}, registry_condition::failing);
    auto context = make_context();
    CHECK(decision::choose_plain(table, context, random)->value == "two");
    // Every listed instance was tried: the unlisted one may be leaving, so it is not used.
    context.excluded.insert({"two"});
    CHECK_FALSE(decision::choose_plain(table, context, random));
    (void)decision::apply_change(table, {{"two"}, std::nullopt, 10}, registry_condition::failing);
    context.excluded.clear();
    CHECK(decision::choose_plain(table, context, random));
}

// Guards against work for an upstream that may be shutting down while a sound one just asked for rest.
TEST_CASE("an instance that the registry lost while it was failing is not used while a listed one rests") {
    std::mt19937_64 random(1);
    auto table = make_table({make_entry("one"), make_entry("two")});
    (void)decision::apply_change(table, {{"one"}, std::nullopt, 9}, registry_condition::failing);
    decision::record_backoff(*decision::find_instance(table, {"two"}), 1s, now);
    CHECK_FALSE(decision::choose_plain(table, make_context(), random));
    // One that the request may never be sent to is no reason to serve nobody.
    auto context = make_context();
    table.evacuated = {{"east"}};
    decision::find_instance(table, {"one"})->entry.availability_zone = {"west"};
    CHECK(decision::choose_plain(table, context, random)->value == "one");
}

TEST_CASE("an instance that the registry lost while it was failing vanishes if it is not listed again") {
    std::mt19937_64 random(1);
    auto table = make_table({make_entry("one"), make_entry("two")});
    for (const auto* id : {"one", "two"})
        (void)decision::apply_change(table, {{id}, std::nullopt, 9}, registry_condition::failing);
    // Written late, from before its entry went.
    (void)decision::apply_change(table, make_change(make_entry("one"), 10), registry_condition::failing);
    CHECK(decision::find_instance(table, {"one"})->state == listing::unlisted);
    (void)decision::apply_change(table, make_change(make_entry("two", engine_stage::none, "east", 2), 10),
                                 registry_condition::failing);
    CHECK(decision::expire_unlisted(table) == std::vector<base::upstream_id>{{"one"}});
    CHECK(decision::find_instance(table, {"one"})->state == listing::vanished);
    CHECK(decision::find_instance(table, {"two"})->state == listing::listed);
    SECTION("a later heartbeat lists it again") {
        (void)decision::apply_change(table, make_change(make_entry("one", engine_stage::none, "east", 2), 11),
                                     registry_condition::healthy);
        CHECK(decision::find_instance(table, {"one"})->state == listing::listed);
    }
}

TEST_CASE("leaving and vanished instances are not chosen") {
    std::mt19937_64 random(1);
    auto leaving = make_entry("one");
    leaving.is_leaving = true;
    auto table = make_table({leaving, make_entry("two")});
    (void)decision::apply_change(table, {{"two"}, std::nullopt, 9}, registry_condition::healthy);
    CHECK_FALSE(decision::choose_plain(table, make_context(), random));
}

TEST_CASE("an unreachable instance is ejected while there is another") {
    std::mt19937_64 random(1);
    auto table = make_table({make_entry("one"), make_entry("two", engine_stage::none, "west")});
    CHECK(decision::choose_plain(table, make_context(), random)->value == "one");
    decision::record_outcome(*decision::find_instance(table, {"one"}), decision::attempt_outcome::unreachable,
                             now);
    CHECK(decision::choose_plain(table, make_context(), random)->value == "two");
}

TEST_CASE("a prompt goes to the engine that holds it, unless that engine has no room") {
    auto table = make_table({make_entry("p1", engine_stage::prefill), make_entry("p2", engine_stage::prefill),
                             make_entry("d1", engine_stage::decode), make_entry("d2", engine_stage::decode)});
    std::mt19937_64 random(1);
    auto context = make_context();
    context.holding = {{"d2"}};
    auto plan = decision::choose_engines(table, context, capacity, {5'000, 700}, random);
    REQUIRE(plan);
    CHECK_FALSE(plan->prefill);
    CHECK(plan->decode.value == "d2");
    decision::find_instance(table, {"d2"})->others = {12, 60'000, 0};
    plan = decision::choose_engines(table, context, capacity, {5'000, 700}, random);
    REQUIRE(plan);
    CHECK(plan->prefill);
    CHECK(plan->decode.value == "d1");
    context.holding = {{"p2"}};
    plan = decision::choose_engines(table, context, capacity, {5'000, 700}, random);
    REQUIRE(plan);
    CHECK(plan->prefill == base::upstream_id{"p2"});
}

TEST_CASE("memory is reserved for requests ahead, so that small requests can't starve a large one") {
    auto table = make_table({make_entry("p1", engine_stage::prefill), make_entry("d1", engine_stage::decode),
                             make_entry("d2", engine_stage::decode)});
    // Each engine has 4,000 tokens available: enough for a small request, not for a large one.
    for (const auto* id : {"d1", "d2"})
        decision::find_instance(table, {id})->others = {10, capacity.kv_tokens - 4'000.0, 0};
    std::mt19937_64 random(1);
    auto context = make_context();
    const decision::prompt_size small{2'000, 500};
    CHECK(decision::choose_engines(table, context, capacity, small, random)->has_room);
    const std::vector<decision::waiter> ahead = {{400ms, 7'000}};
    context.reserved = decision::reserve_memory(table, context, capacity, ahead);
    REQUIRE(context.reserved.size() == 1);
    const auto held_back = context.reserved.begin()->first;
    auto plan = decision::choose_engines(table, context, capacity, small, random);
    CHECK(plan->has_room);
    CHECK(plan->decode != held_back);
    // Two large requests ahead reserve both engines.
    const std::vector<decision::waiter> two = {{400ms, 7'000}, {300ms, 7'000}};
    context.reserved = decision::reserve_memory(table, context, capacity, two);
    CHECK_FALSE(decision::choose_engines(table, context, capacity, small, random)->has_room);
    // The large request gets the first engine with room for it.
    decision::find_instance(table, held_back)->others = {9, capacity.kv_tokens - 8'000.0, 0};
    context.reserved.clear();
    plan = decision::choose_engines(table, context, capacity, {6'000, 1'000}, random);
    CHECK(plan->has_room);
    CHECK(plan->decode == held_back);
}

TEST_CASE("an engine that accepts no prompts is ejected briefly") {
    auto table = make_table({make_entry("p1", engine_stage::prefill), make_entry("p2", engine_stage::prefill),
                             make_entry("d1", engine_stage::decode)});
    std::mt19937_64 random(1);
    decision::record_outcome(*decision::find_instance(table, {"p1"}), decision::attempt_outcome::closed, now);
    for (int draw = 0; draw < 20; ++draw)
        CHECK(
            decision::choose_engines(table, make_context(), capacity, {5'000, 700}, random)->prefill->value ==
            "p2");
    auto later = make_context();
    later.now = now + 1s;
    CHECK_FALSE(decision::is_avoided(*decision::find_instance(table, {"p1"}), later.now));
}

TEST_CASE("a prompt goes to the prefill engine with the shortest queue and a decode engine with room") {
    std::mt19937_64 random(1);
    auto table = make_table({make_entry("p1", engine_stage::prefill), make_entry("p2", engine_stage::prefill),
                             make_entry("d1", engine_stage::decode), make_entry("d2", engine_stage::decode)});
    decision::find_instance(table, {"p1"})->others.prompt_tokens = 20'000;
    decision::find_instance(table, {"d1"})->others = {.requests = 10, .memory_tokens = 58'000};
    const auto plan = decision::choose_engines(table, make_context(), capacity, {5'000, 700}, random);
    REQUIRE(plan);
    CHECK(plan->prefill->value == "p2");
    CHECK(plan->decode.value == "d2");
    CHECK(plan->has_room);
}

TEST_CASE("with all decode engines full the plan has no room, and an oversized request is admitted to an "
          "empty engine") {
    std::mt19937_64 random(1);
    auto table = make_table({make_entry("p", engine_stage::prefill), make_entry("d", engine_stage::decode)});
    CHECK(decision::choose_engines(table, make_context(), capacity, {90'000, 700}, random)->has_room);
    decision::find_instance(table, {"d"})->own = {.requests = 1, .memory_tokens = 58'000};
    CHECK_FALSE(decision::choose_engines(table, make_context(), capacity, {5'000, 700}, random)->has_room);
}

TEST_CASE("without prefill engines the decode engine prefills the prompt itself") {
    std::mt19937_64 random(1);
    auto table = make_table({make_entry("d", engine_stage::decode)});
    const auto plan = decision::choose_engines(table, make_context(), capacity, {5'000, 700}, random);
    REQUIRE(plan);
    CHECK_FALSE(plan->prefill);
    CHECK(plan->decode.value == "d");
}

TEST_CASE("an instance that other hosts can reach is preferred over one that they can't") {
    std::mt19937_64 random(1);
    auto table = make_table({make_entry("one"), make_entry("two", engine_stage::none, "west")});
    CHECK(decision::choose_plain(table, make_context(), random)->value == "one");
    decision::find_instance(table, {"one"})->avoided_by = 1;
    CHECK(decision::choose_plain(table, make_context(), random)->value == "two");
}

TEST_CASE("an engine that refused despite available memory has no room for a while") {
    std::mt19937_64 random(1);
    auto table = make_table({make_entry("p", engine_stage::prefill), make_entry("d", engine_stage::decode)});
    auto context = make_context();
    decision::instance& engine = *decision::find_instance(table, {"d"});
    decision::record_refusal(engine, decision::available_memory(engine, capacity, now), now);
    CHECK_FALSE(decision::choose_engines(table, context, capacity, {5'000, 700}, random)->has_room);
    context.now = now + 2s;
    CHECK(decision::choose_engines(table, context, capacity, {5'000, 700}, random)->has_room);
}

TEST_CASE("an engine whose port refuses connections has no slots for any host") {
    std::mt19937_64 random(1);
    auto table =
        make_table({make_entry("p1", engine_stage::prefill), make_entry("dead", engine_stage::decode),
                    make_entry("full", engine_stage::decode)});
    decision::instance& dead = *decision::find_instance(table, {"dead"});
    decision::find_instance(table, {"full"})->others = {.requests = 12, .memory_tokens = 60'000};
    const auto plan = [&] {
        return decision::choose_engines(table, make_context(), capacity, {5'000, 700}, random);
    };
    CHECK(plan()->decode.value == "dead");
    SECTION("detected by this host") {
        decision::record_outcome(dead, decision::attempt_outcome::exited, now);
        CHECK(decision::is_out_of_service(dead, now + 3s));
        CHECK_FALSE(decision::is_out_of_service(dead, now + 5s));
        SECTION("until it responds again") {
            decision::record_outcome(dead, decision::attempt_outcome::good, now);
            CHECK_FALSE(decision::is_avoided(dead, now));
            return;
        }
    }
    SECTION("detected by another host") { dead.is_out_of_service_elsewhere = true; }
    if (!decision::is_avoided(dead, now))
        return;
    CHECK(plan()->decode.value == "full");
    CHECK_FALSE(plan()->has_room);
    CHECK(decision::count_decode_slots(table, make_context(), capacity, {5'000, 700}).free == 0);
}

// Guards against refusing streams that only some engines may continue while all of these are ejected for
// streams that broke: they run and are chosen as a last resort.
TEST_CASE("engines that broke a few streams have slots while there is no other, those that ended have none") {
    auto table =
        make_table({make_entry("one", engine_stage::decode), make_entry("two", engine_stage::decode)});
    const auto free_slots = [&table] {
        return decision::count_decode_slots(table, make_context(), capacity, {5'000, 700}).free_now;
    };
    decision::instance& one = *decision::find_instance(table, {"one"});
    decision::instance& two = *decision::find_instance(table, {"two"});
    const double slots_of_both = free_slots();
    const auto fail = [](decision::instance& engine, decision::attempt_outcome outcome) {
        for (int failure = 0; failure < 3; ++failure)
            decision::record_outcome(engine, outcome, now);
        REQUIRE(decision::is_avoided(engine, now));
    };
    fail(one, decision::attempt_outcome::failed);
    CHECK(free_slots() == slots_of_both / 2);
    SECTION("both broke streams") {
        fail(two, decision::attempt_outcome::failed);
        CHECK(free_slots() == slots_of_both);
    }
    SECTION("the other one has ended") {
        fail(two, decision::attempt_outcome::exited);
        CHECK(free_slots() == slots_of_both / 2);
    }
    SECTION("the other one accepts no prompts now") {
        fail(two, decision::attempt_outcome::closed);
        CHECK(free_slots() == slots_of_both / 2);
    }
    SECTION("the other one can't be reached from here") {
        fail(two, decision::attempt_outcome::unreachable);
        decision::record_unreached(two, now);
        CHECK(free_slots() == slots_of_both / 2);
    }
}

TEST_CASE("the memory of the decode engines does not depend on the request's size or the engines' speed") {
    auto table = make_table({make_entry("p", engine_stage::prefill), make_entry("one", engine_stage::decode),
                             make_entry("two", engine_stage::decode)});
    decision::find_instance(table, {"one"})->pace.in_use.decode = 2;
    decision::find_instance(table, {"two"})->others = {.requests = 1, .memory_tokens = 10'000};
    for (const double prompt_tokens : {100.0, 7'000.0, 1'000'000.0}) {
        const auto slots =
            decision::count_decode_slots(table, make_context(), capacity, {prompt_tokens, 700});
        CHECK(slots.total_memory == 2 * capacity.kv_tokens);
        CHECK(slots.free_memory == 2 * capacity.kv_tokens - 10'000);
    }
}

TEST_CASE("two engines of one zone are chosen if that costs less than a transfer between zones") {
    std::mt19937_64 random(1);
    auto table = make_table({make_entry("p-east", engine_stage::prefill, "east"),
                             make_entry("p-west", engine_stage::prefill, "west"),
                             make_entry("d-east", engine_stage::decode, "east"),
                             make_entry("d-west", engine_stage::decode, "west")});
    // The decode engine in this host's zone is full: the prompt is prefilled in the other engine's zone.
    decision::find_instance(table, {"d-east"})->others = {.requests = 12, .memory_tokens = 60'000};
    auto plan = decision::choose_engines(table, make_context(), capacity, {5'000, 700}, random);
    REQUIRE(plan);
    CHECK(plan->prefill->value == "p-west");
    CHECK(plan->decode.value == "d-west");
    SECTION("unless the queue there is long") {
        decision::find_instance(table, {"p-west"})->others.prompt_tokens = 40'000;
        plan = decision::choose_engines(table, make_context(), capacity, {5'000, 700}, random);
        CHECK(plan->prefill->value == "p-east");
        CHECK(plan->decode.value == "d-west");
    }
}

// Guards against a single host whose link refuses a connection, and so has all others avoid an upstream that
// answers them.
TEST_CASE("a plain upstream that another host reports gone is avoided unless it responded recently") {
    auto table = make_table({make_entry("plain"), make_entry("d1", engine_stage::decode)});
    for (const auto* id : {"plain", "d1"}) {
        decision::instance& known = *decision::find_instance(table, {id});
        // An engine that is changing its stage completes what it began before.
        const bool is_engine = known.entry.stage != engine_stage::none;
        known.is_out_of_service_elsewhere = true;
        known.avoided_by = 1;
        CHECK(decision::is_avoided(known, now));
        CHECK(decision::count_avoiding_hosts(known, now) == 1);
        CHECK_FALSE(decision::is_last_resort(known, now));
        decision::record_outcome(known, decision::attempt_outcome::good, now);
        CHECK(decision::is_avoided(known, now + 500ms) == is_engine);
        CHECK(decision::is_last_resort(known, now + 500ms) != is_engine);
        CHECK(decision::count_avoiding_hosts(known, now + 500ms) == (is_engine ? 1 : 0));
        CHECK(decision::is_avoided(known, now + 2s));
        CHECK_FALSE(decision::is_last_resort(known, now + 2s));
        CHECK(decision::count_avoiding_hosts(known, now + 2s) == 1);
        decision::record_outcome(known, decision::attempt_outcome::exited, now);
        CHECK(decision::is_avoided(known, now + 500ms));
    }
}

TEST_CASE("an engine that two other hosts can't reach is avoided unless it responded to this host recently") {
    auto table = make_table({make_entry("one")});
    decision::instance& silent = *decision::find_instance(table, {"one"});
    silent.avoided_by = 1;
    CHECK_FALSE(decision::is_avoided(silent, now));
    silent.avoided_by = 2;
    CHECK(decision::is_avoided(silent, now));
    decision::record_outcome(silent, decision::attempt_outcome::good, now);
    CHECK_FALSE(decision::is_avoided(silent, now + 500ms));
    CHECK(decision::is_avoided(silent, now + 2s));
}

// Guards against an upstream that refuses requests despite free slots and a passing health check being chosen
// as often as its neighbours.
TEST_CASE("an upstream that refuses despite free slots gets fewer requests until it responds normally") {
    auto table = make_table({make_entry("refusing"), make_entry("sound")});
    decision::instance& refusing = *decision::find_instance(table, {"refusing"});
    std::mt19937_64 random(1);
    const auto chosen_of = [&](int draws) {
        int count = 0;
        for (int draw = 0; draw < draws; ++draw)
            count += decision::choose_plain(table, make_context(), random)->value == "refusing" ? 1 : 0;
        return count;
    };
    for (int request = 0; request < 20; ++request) {
        decision::record_outcome(refusing, decision::attempt_outcome::busy, now);
        decision::record_spurious_refusal(refusing);
        decision::record_outcome(refusing, decision::attempt_outcome::good, now);
    }
    CHECK(chosen_of(100) == 0);
    for (int request = 0; request < 60; ++request)
        decision::record_outcome(refusing, decision::attempt_outcome::good, now);
    CHECK(chosen_of(100) > 20);
}

TEST_CASE("a refusal for lack of slots leaves the failure rate unchanged") {
    auto table = make_table({make_entry("one")});
    decision::instance& one = *decision::find_instance(table, {"one"});
    decision::record_outcome(one, decision::attempt_outcome::failed, now);
    const double before = one.health.failure_rate;
    decision::record_outcome(one, decision::attempt_outcome::busy, now);
    CHECK(one.health.failure_rate == before);
}
