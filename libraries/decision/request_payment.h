// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/arrival_account.h>
#include <decision/router_state.h>

/// What the router's retries cost, by what engines have received of each request.
namespace postpaddle::decision {

/// Holds retries for sends to come, so that none is begun that can't be paid for to its end. Returns false if
/// the budget is too low.
[[nodiscard]] bool try_reserve_retries(router_state& state, request_state& request, int count,
                                       base::time_point now);

/// Call before a send; retries have been reserved for it.
void pay_for_send(router_state& state, request_state& request, base::time_point now);

/// Records the result of the send in progress, and ends its payment.
void record_send(router_state& state, request_state& request, attempt_kind kind, attempt_result result,
                 base::time_point now);

/// Records that the send in progress, if there is one, is given up: it may have arrived.
void give_up_send(router_state& state, request_state& request, base::time_point now);

/// Returns what is held for a request that has ended.
void release_retries(router_state& state, request_state& request);

/// Result of a send whose phase failed.
[[nodiscard]] attempt_result result_of(failure reason);

} // namespace postpaddle::decision
