// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/attempt_result.h>

namespace postpaddle::decision {

/// What upstreams have received of one request so far, whichever host sent it: the basis of the retry budget.
///
/// Upstreams count each arrival: runs, also refused ones and ones without an answer, and prompts. The first
/// arrival that counts is free, and so is the first prompt that an engine answers. Each other arrival is a
/// retry, for which a host pays before it sends.
struct arrival_account {
    int counted = 0;             ///< Arrivals that count; all but the first are retries.
    bool is_prompt_read = false; ///< An engine has answered a prompt, so that no further one is free.

    bool operator==(const arrival_account&) const = default;
};

/// Whether an attempt with that result counts. One that may have arrived counts as arrived.
[[nodiscard]] bool counts(const arrival_account& account, attempt_kind kind, attempt_result result);

/// Records the result of an attempt.
void record_arrival(arrival_account& account, attempt_kind kind, attempt_result result);

/// Takes over the account of another host that went on with this one.
void take_over(arrival_account& account, const arrival_account& told);

/// Assumes the worst of another host that was sent the request and does not tell what it sent.
void assume_arrived(arrival_account& account);

/// Whether the next attempt must be paid for. A prompt that turns out not to count is refunded.
[[nodiscard]] bool is_retry(const arrival_account& account);

/// Retries to hold before a prompt is sent to a prefill engine, for it and for the run that must follow it.
/// One that is free in the end is returned.
[[nodiscard]] int retries_for_prompt_and_run(const arrival_account& account);

} // namespace postpaddle::decision
