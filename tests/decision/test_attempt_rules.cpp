// SPDX-License-Identifier: BSD-2-Clause
#include <decision/admission.h>
#include <decision/attempt_rules.h>
#include <decision/stream_rules.h>
#include <decision/wait_queue.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace postpaddle;
using decision::attempt_result;
using namespace std::chrono_literals;

TEST_CASE("a request that may run only once is retried elsewhere only if it surely did not run") {
    decision::attempt_record record = {.is_repeatable = false, .max_attempts = 2};
    decision::record_result(record, decision::attempt_kind::run, attempt_result::not_connected);
    CHECK(decision::may_retry(record, attempt_result::not_connected));
    decision::record_result(record, decision::attempt_kind::run, attempt_result::not_run);
    CHECK(decision::may_retry(record, attempt_result::not_run));
    CHECK(decision::local_response_for(record, attempt_result::not_run) == decision::local_response::not_run);
    for (const auto result : {attempt_result::broken, attempt_result::late, attempt_result::server_error}) {
        decision::attempt_record sent = record;
        decision::record_result(sent, decision::attempt_kind::run, result);
        CHECK_FALSE(decision::may_retry(sent, result));
        CHECK(decision::local_response_for(sent, result) != decision::local_response::not_run);
    }
}

TEST_CASE("a repeatable request runs on no more upstreams than its route allows") {
    decision::attempt_record record = {.is_repeatable = true, .max_attempts = 2};
    decision::record_result(record, decision::attempt_kind::run, attempt_result::broken);
    CHECK(decision::may_retry(record, attempt_result::broken));
    decision::record_result(record, decision::attempt_kind::run, attempt_result::broken);
    CHECK_FALSE(decision::may_retry(record, attempt_result::broken));
}

TEST_CASE("a request that may have run is never reported as not run") {
    for (unsigned seed = 1; seed <= 2'000; ++seed) {
        std::mt19937 random(seed);
        decision::attempt_record record = {.is_repeatable = random() % 2 == 0,
                                           .max_attempts = 1 + static_cast<int>(random() % 3)};
        bool may_have_run = false;
        int runs = 0;
        attempt_result last = attempt_result::not_connected;
        do {
            last = static_cast<attempt_result>(random() % 6);
            decision::record_result(record, decision::attempt_kind::run, last);
            const bool ran = last != attempt_result::not_connected && last != attempt_result::not_run;
            may_have_run = may_have_run || ran;
            runs += ran ? 1 : 0;
        } while (decision::may_retry(record, last));
        INFO("seed " << seed);
        REQUIRE((decision::local_response_for(record, last) == decision::local_response::not_run) ==
                !may_have_run);
        REQUIRE(runs <= (record.is_repeatable ? record.max_attempts : 1));
    }
}

TEST_CASE("a request waits while it can be served and is refused at its timeout") {
    decision::admission_facts facts = {.has_room = true,
                                       .free_slots = 1,
                                       .total_slots = 60,
                                       .waiting_ahead = 0,
                                       .hold = 3s,
                                       .is_queued = false,
                                       .waited = 0ms,
                                       .max_wait = 2'700ms};
    CHECK(decision::admit_to_engines(facts) == decision::admission::start);
    facts.has_room = false;
    facts.waiting_ahead = 1;
    CHECK(decision::admit_to_engines(facts) == decision::admission::wait);
    facts.waiting_ahead = 100;
    CHECK(decision::admit_to_engines(facts) == decision::admission::refuse);
    facts.is_queued = true;
    CHECK(decision::admit_to_engines(facts) == decision::admission::wait);
    facts.waited = 2'700ms;
    CHECK(decision::admit_to_engines(facts) == decision::admission::refuse);
}

TEST_CASE("a request that will be late is refused at once if its caller retries, otherwise it waits") {
    decision::admission_facts facts = {.has_room = false,
                                       .free_slots = 0,
                                       .total_slots = 60,
                                       .waiting_ahead = 19,
                                       .hold = 3s,
                                       .in_time = 500ms,
                                       .will_retry = true,
                                       .max_wait = 2'700ms};
    CHECK(decision::admit_to_engines(facts) == decision::admission::refuse);
    std::mt19937_64 random(1);
    for (int draw = 0; draw < 100; ++draw) {
        const base::duration back = decision::slot_retry_delay(facts, random);
        CHECK(back >= 1s);
        CHECK(back <= 3s);
    }
    facts.will_retry = false;
    CHECK(decision::admit_to_engines(facts) == decision::admission::wait);
    facts.will_retry = true;
    facts.waiting_ahead = 5;
    CHECK(decision::admit_to_engines(facts) == decision::admission::wait);
}

TEST_CASE("a late request yields to queued prompts until its wait limit") {
    decision::admission_facts facts = {.has_room = true,
                                       .free_slots = 5,
                                       .total_slots = 60,
                                       .hold = 3s,
                                       .is_late = true,
                                       .prompt_queue = 400ms,
                                       .max_wait = 2'700ms};
    CHECK(decision::admit_to_engines(facts) == decision::admission::wait);
    facts.waited = 2'700ms;
    CHECK(decision::admit_to_engines(facts) == decision::admission::start);
    facts.waited = 0ms;
    facts.prompt_queue = 50ms;
    CHECK(decision::admit_to_engines(facts) == decision::admission::start);
    facts.prompt_queue = 400ms;
    facts.is_late = false;
    CHECK(decision::admit_to_engines(facts) == decision::admission::start);
}

TEST_CASE("requests that can be on time go first; within each group, the longest wait goes first") {
    const base::duration in_time = 500ms;
    CHECK(decision::precedes(100ms, 600ms, in_time));
    CHECK_FALSE(decision::precedes(600ms, 100ms, in_time));
    CHECK(decision::precedes(400ms, 100ms, in_time));
    CHECK_FALSE(decision::precedes(100ms, 400ms, in_time));
    CHECK(decision::precedes(2s, 1s, in_time));
    CHECK_FALSE(decision::precedes(1s, 2s, in_time));
}

TEST_CASE("a caller's output hint is pulled towards the mean and capped at the maximum") {
    CHECK(decision::expected_output(0, 600, 1'870) == Approx(600));
    CHECK(decision::expected_output(600, 600, 1'870) == Approx(600));
    CHECK(decision::expected_output(60, 600, 1'870) > 60);
    CHECK(decision::expected_output(60, 600, 1'870) < 600);
    CHECK(decision::expected_output(1e6, 600, 1'870) == Approx(1'870));
}

TEST_CASE("an attempt leaves time for another one only if a retry is allowed") {
    decision::attempt_record record = {.is_repeatable = true, .max_attempts = 2};
    CHECK(decision::attempt_timeout(record, 1'000ms) < 1'000ms);
    CHECK(decision::attempt_timeout(record, 200ms) == 200ms);
    decision::record_result(record, decision::attempt_kind::run, attempt_result::broken);
    CHECK(decision::attempt_timeout(record, 1'000ms) == 1'000ms);
    CHECK(decision::attempt_timeout({.is_repeatable = false, .max_attempts = 2}, 1'000ms) == 1'000ms);
}

TEST_CASE("Retry-After leaves a refused caller enough time to be served") {
    CHECK(decision::retry_after(14s, 5s, 0s) == 300ms);
    CHECK(decision::retry_after(400ms, 5s, 0s) == 100ms);
    CHECK(decision::retry_after(0ms, 5s, 0s) > 0ms);
    CHECK(decision::retry_after(14s, 5s, 2s) == 2s);
    CHECK(decision::retry_after(4s, 5s, 2s) == 1s);
    CHECK(decision::retry_after(14s, 1s, 2s) == 1s);
}

TEST_CASE("a retained prompt is relied on for part of its retention period and for few refusals") {
    const settings::engine_capacity capacity = {
        .slots = 128, .kv_tokens = 60'000, .tokens_per_event = 11, .kv_retention = 500ms};
    CHECK(decision::is_prompt_retained(300ms, capacity, 1));
    CHECK_FALSE(decision::is_prompt_retained(450ms, capacity, 0));
    CHECK_FALSE(decision::is_prompt_retained(0ms, capacity, 3));
    CHECK_FALSE(decision::is_prompt_expiring(200ms, capacity));
    CHECK(decision::is_prompt_expiring(260ms, capacity));
    CHECK(decision::may_be_full(std::nullopt, capacity, {5'000, 700}));
    CHECK(decision::may_be_full(decision::instance_load{11, 0, 128}, capacity, {5'000, 700}));
    CHECK_FALSE(decision::may_be_full(decision::instance_load{2, 0, 128}, capacity, {5'000, 700}));
    CHECK(decision::memory_for_stream(capacity, {5'000, 700}, 10) == Approx(5'260));
}

TEST_CASE("the wait queue counts the requests ahead in line with the queue's order") {
    std::mt19937_64 random(6);
    for (int round = 0; round < 200; ++round) {
        std::vector<decision::waiter> waiters;
        for (std::uint64_t count = random() % 40; count > 0; --count)
            waiters.push_back({std::chrono::milliseconds(random() % 2'000), 100});
        const decision::wait_queue queue(waiters);
        const std::chrono::milliseconds own(random() % 2'000);
        const std::chrono::milliseconds in_time(random() % 1'500);
        const auto ahead = std::ranges::count_if(waiters, [&](const decision::waiter& other) {
            return decision::precedes(other.waited, own, in_time);
        });
        CHECK(queue.count_ahead(own, in_time) == static_cast<std::size_t>(ahead));
    }
}

TEST_CASE("in a burst only requests that may be at the head of the queue are woken, in queue order") {
    // 500 requests of all hosts wait, 50 of them at this host, and three slots are free.
    std::vector<decision::waiter> all;
    std::vector<decision::local_waiter> own;
    for (int number = 0; number < 500; ++number) {
        const std::chrono::milliseconds waited(number);
        all.push_back({waited, 4'000});
        if (number % 10 == 9)
            own.push_back({waited, 1'000ms});
    }
    const decision::wait_queue queue(all);
    CHECK(decision::head_of_queue(queue, own, 3, 8) == std::vector<std::size_t>{49});
    CHECK(decision::head_of_queue(queue, own, 40, 8) == std::vector<std::size_t>{49, 48, 47, 46, 45});
    CHECK(decision::head_of_queue(queue, own, 500, 8).size() == 8);
    // Requests past their latency target come after all others.
    for (decision::local_waiter& facts : own)
        facts.in_time = 300ms;
    CHECK(decision::head_of_queue(queue, own, 3, 8) == std::vector<std::size_t>{29});
}
