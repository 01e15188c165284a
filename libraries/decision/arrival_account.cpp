// SPDX-License-Identifier: BSD-2-Clause
#include <decision/arrival_account.h>

#include <algorithm>
#include <initializer_list>

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
    int retries = 0;
    arrival_account planned = account;
    for (const attempt_kind kind : {attempt_kind::prefill, attempt_kind::run}) {
        const bool is_charged = is_retry(planned);
        retries += is_charged && counts(planned, kind, attempt_result::answered) ? 1 : 0;
        record_arrival(planned, kind, attempt_result::answered);
    }
    return retries;
}

} // namespace postpaddle::decision
