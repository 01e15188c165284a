// SPDX-License-Identifier: BSD-2-Clause
#include <decision/attempt_rules.h>

#include <algorithm>

namespace postpaddle::decision {

namespace {

/// Failed connections after which the request is abandoned.
constexpr int max_failed_connects = 4;
/// Refusals after which the request is abandoned.
constexpr int max_refusals = 3;
/// Fraction of the remaining time that an attempt may take where the request can be retried elsewhere.
constexpr double attempt_fraction = 0.45;
constexpr base::duration min_attempt_timeout = std::chrono::milliseconds(250);
/// Lower bound of the expected time until a slot is free.
constexpr base::duration min_slot_wait = std::chrono::milliseconds(300);
constexpr base::duration min_retry_after = std::chrono::milliseconds(50);
/// Upper bound of Retry-After as a fraction of the remaining time.
constexpr double retry_after_fraction = 0.25;

} // namespace

void record_result(attempt_record& record, attempt_kind kind, attempt_result result) {
    record_arrival(record.arrivals, kind, result);
    if (kind == attempt_kind::prefill) {
        if (result != attempt_result::not_connected && result != attempt_result::not_run)
            ++record.prompts;
        return;
    }
    switch (result) {
    case attempt_result::not_connected:
        ++record.failed_connects;
        return;
    case attempt_result::not_run:
        ++record.refusals;
        return;
    default:
        ++record.attempts;
        record.may_have_run = true;
    }
}

void record_forwarded(attempt_record& record, int attempts) {
    record.attempts += attempts;
    record.may_have_run |= attempts > 0;
}

int attempts_to_grant(const attempt_record& record) {
    const int left = record.max_attempts - record.attempts;
    return record.is_repeatable && left > 1 ? left - 1 : left;
}

bool may_retry(const attempt_record& record, attempt_result last) {
    if (last == attempt_result::answered)
        return false;
    if (record.failed_connects >= max_failed_connects || record.refusals >= max_refusals)
        return false;
    if (last == attempt_result::not_connected || last == attempt_result::not_run)
        return record.attempts < record.max_attempts;
    return record.is_repeatable && record.attempts < record.max_attempts;
}

bool may_retry_elsewhere(const attempt_record& record) {
    return record.is_repeatable && record.attempts + 1 < record.max_attempts;
}

base::duration attempt_timeout(const attempt_record& record, base::duration left) {
    if (!may_retry_elsewhere(record))
        return left;
    const base::duration fraction = base::scaled(left, attempt_fraction);
    return std::min(left, std::max(min_attempt_timeout, fraction));
}

base::duration retry_after(base::duration left, base::duration max_wait, base::duration until_slot) {
    const base::duration fraction = base::scaled(left, retry_after_fraction);
    return std::max(min_retry_after, std::min({std::max(min_slot_wait, until_slot), fraction, max_wait}));
}

local_response local_response_for(const attempt_record& record, attempt_result last) {
    if (!record.may_have_run)
        return local_response::not_run;
    return last == attempt_result::late ? local_response::timed_out : local_response::failed;
}

} // namespace postpaddle::decision
