// SPDX-License-Identifier: BSD-2-Clause
#include <decision/request_payment.h>

namespace postpaddle::decision {

bool try_reserve_retries(router_state& state, request_state& request, int count, base::time_point now) {
    return try_reserve(request.payment, state.retries, state.options.retry_budget, count, now);
}

void pay_for_send(router_state& state, request_state& request, base::time_point now) {
    if (is_retry(request.arrivals))
        (void)try_pay(request.payment, state.retries, state.options.retry_budget, now);
}

void record_send(router_state& state, request_state& request, attempt_kind kind, attempt_result result,
                 base::time_point now) {
    settle(request.payment, state.retries, state.options.retry_budget, counts(request.arrivals, kind, result),
           refund_to::reserve, now);
    record_arrival(request.arrivals, kind, result);
}

void give_up_send(router_state& state, request_state& request, base::time_point now) {
    if (request.at == phase::prefilling)
        record_send(state, request, attempt_kind::prefill, attempt_result::late, now);
    else if (request.at == phase::transferring || request.at == phase::decoding)
        record_send(state, request, attempt_kind::run, attempt_result::late, now);
}

void release_retries(router_state& state, request_state& request) {
    release_reserved(request.payment, state.retries, 0);
}

attempt_result result_of(failure reason) {
    switch (reason) {
    case failure::refused:
    case failure::lost_kv:
        return attempt_result::not_run;
    case failure::broken:
    case failure::malformed:
        return attempt_result::broken;
    case failure::late:
        return attempt_result::late;
    }
    return attempt_result::broken;
}

} // namespace postpaddle::decision
