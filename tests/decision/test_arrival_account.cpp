// SPDX-License-Identifier: BSD-2-Clause
#include <decision/arrival_account.h>

#include <catch2/catch.hpp>

#include <random>
#include <vector>

using namespace postpaddle;
using decision::attempt_kind;
using decision::attempt_result;

// Guards against a prompt that was closed without an answer, or answered late, being taken for the free one.
TEST_CASE("every arrival counts but the first prompt that an engine answers") {
    struct step {
        attempt_kind kind;
        attempt_result result;
        bool counts;
    };
    const std::vector<std::vector<step>> cases = {
        {{attempt_kind::prefill, attempt_result::answered, false},
         {attempt_kind::run, attempt_result::answered, true}},
        {{attempt_kind::prefill, attempt_result::not_run, true},
         {attempt_kind::prefill, attempt_result::answered, false},
         {attempt_kind::run, attempt_result::answered, true}},
        {{attempt_kind::prefill, attempt_result::answered, false},
         {attempt_kind::run, attempt_result::not_run, true},
         {attempt_kind::run, attempt_result::broken, true},
         {attempt_kind::prefill, attempt_result::answered, true},
         {attempt_kind::run, attempt_result::answered, true}},
        {{attempt_kind::prefill, attempt_result::late, true},
         {attempt_kind::prefill, attempt_result::answered, false},
         {attempt_kind::run, attempt_result::answered, true}},
        {{attempt_kind::prefill, attempt_result::broken, true},
         {attempt_kind::prefill, attempt_result::server_error, true},
         {attempt_kind::prefill, attempt_result::answered, false},
         {attempt_kind::prefill, attempt_result::answered, true},
         {attempt_kind::run, attempt_result::late, true}},
        {{attempt_kind::prefill, attempt_result::not_connected, false},
         {attempt_kind::run, attempt_result::not_connected, false},
         {attempt_kind::run, attempt_result::server_error, true}},
    };
    for (const auto& steps : cases) {
        decision::arrival_account account;
        int counted = 0;
        for (const step& next : steps) {
            CHECK(decision::is_retry(account) == (counted > 0));
            CHECK(decision::counts(account, next.kind, next.result) == next.counts);
            decision::record_arrival(account, next.kind, next.result);
            counted += next.counts ? 1 : 0;
            CHECK(account.counted == counted);
        }
    }
}

// Guards against a prompt that is processed without a run to follow: one that turns out to be the retry
// leaves nothing for its run.
TEST_CASE("a prompt and its run need a retry for each of them that may count beyond the first") {
    decision::arrival_account account;
    CHECK(decision::retries_for_prompt_and_run(account) == 0);
    for (const auto result : {attempt_result::not_run, attempt_result::broken, attempt_result::late}) {
        decision::arrival_account failed = account;
        decision::record_arrival(failed, attempt_kind::prefill, result);
        CHECK(decision::retries_for_prompt_and_run(failed) == 2);
    }
    decision::record_arrival(account, attempt_kind::prefill, attempt_result::answered);
    CHECK(decision::retries_for_prompt_and_run(account) == 1);
    decision::record_arrival(account, attempt_kind::run, attempt_result::broken);
    CHECK(decision::retries_for_prompt_and_run(account) == 2);
}

TEST_CASE("what a prompt and its run need is what is held for them, and at least what they are charged") {
    for (unsigned seed = 1; seed <= 500; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        decision::arrival_account account;
        for (std::uint64_t count = random() % 4; count > 0; --count)
            decision::record_arrival(account, static_cast<attempt_kind>(random() % 2),
                                     static_cast<attempt_result>(random() % 6));
        const int needed = decision::retries_for_prompt_and_run(account);
        int held = 0;
        int charged = 0;
        for (const auto kind : {attempt_kind::prefill, attempt_kind::run}) {
            const bool is_held = decision::is_retry(account);
            held += is_held ? 1 : 0;
            charged += is_held && decision::counts(account, kind, attempt_result::answered) ? 1 : 0;
            decision::record_arrival(account, kind, attempt_result::answered);
        }
        REQUIRE(needed == held);
        REQUIRE(needed >= charged);
    }
}
