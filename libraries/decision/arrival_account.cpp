// SPDX-License-Identifier: BSD-2-Clause
#include <decision/arrival_account.h>

#include <algorithm>

namespace postpaddle::decision {

namespace {

bool is_free_prompt(const arrival_account& account, attempt_kind kind, attempt_result result) {
    return kind == attempt_kind::prefill && result == attempt_result::answered && !account.is_prompt_read;
}

} // namespace

bool counts(const arrival_account& account, attempt_kind kind, attempt_result result) {
    return result != attempt_result::not_connected && !is_free_prompt(account, kind, result);
}

void record_arrival(arrival_account& account, attempt_kind kind, attempt_result result) {
    if (counts(account, kind, result))
        ++account.counted;
    account.is_prompt_read |= is_free_prompt(account, kind, result);
}

void take_over(arrival_account& account, const arrival_account& told) {
    account.counted = std::max(account.counted, told.counted);
    account.is_prompt_read |= told.is_prompt_read;
}

void assume_arrived(arrival_account& account) { take_over(account, {.counted = 1, .is_prompt_read = true}); }

bool is_retry(const arrival_account& account) { return account.counted > 0; }

int retries_for_prompt_and_run(const arrival_account& account) {
    arrival_account after_prompt = account;
    record_arrival(after_prompt, attempt_kind::prefill, attempt_result::answered);
    return (is_retry(account) ? 1 : 0) + (is_retry(after_prompt) ? 1 : 0);
}

} // namespace postpaddle::decision
