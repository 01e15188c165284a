// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <decision/arrival_account.h>

namespace postpaddle::decision {

/// Attempts of one request so far. `may_have_run` is never reset.
struct attempt_record {
    bool is_repeatable = false;
    int max_attempts = 1;    ///< Upstreams that may run the request.
    int failed_connects = 0; ///< Attempts that never connected.
    int attempts = 0;        ///< Attempts that may have run.
    int refusals = 0;        ///< Attempts that an upstream refused.
    int prompts = 0;         ///< Prefills that an engine may have begun.
    arrival_account arrivals{};
    bool may_have_run = false;

    bool operator==(const attempt_record&) const = default;
};

/// Response of this host when no upstream's response can be forwarded.
enum class local_response {
    not_run,   ///< 503: the request has not run and will not.
    failed,    ///< 502: it may have run.
    timed_out, ///< 504: it may have run, and the time is up.
};

/// Updates the record with the result of an attempt.
void record_result(attempt_record& record, attempt_kind kind, attempt_result result);

/// Records that another host sent the request to that many upstreams, which may have run it. What arrived is
/// told apart, see `arrival_account`.
void record_forwarded(attempt_record& record, int attempts);

/// Upstreams that another host may have run the request, if it is forwarded now. A request that may run again
/// keeps one for a further host, as this host may hear nothing of the first one's attempts.
[[nodiscard]] int attempts_to_grant(const attempt_record& record);

/// Whether the request may be sent to another upstream after that result. The caller checks the retry budget
/// and the remaining time.
[[nodiscard]] bool may_retry(const attempt_record& record, attempt_result last);

/// Whether the request may run on another upstream after the attempt in progress.
[[nodiscard]] bool may_retry_elsewhere(const attempt_record& record);

/// Time limit of an attempt: all remaining time, or a fraction of it if the request may be retried elsewhere.
[[nodiscard]] base::duration attempt_timeout(const attempt_record& record, base::duration left);

/// Retry-After for a refused caller: when a slot is expected to be free, early enough that it can still be
/// served.
[[nodiscard]] base::duration retry_after(base::duration left, base::duration max_wait,
                                         base::duration until_slot);

/// Response to send after the last attempt failed with that result.
[[nodiscard]] local_response local_response_for(const attempt_record& record, attempt_result last);

} // namespace postpaddle::decision
