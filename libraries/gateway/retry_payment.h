// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_request.h>

/// How a request pays for its retries from the host's share of the retry budget: each is held before it is
/// sent, and spent or returned once it is known whether it reached an upstream.
namespace postpaddle::gateway {

/// Retries that the host's share of the budget has left for the request's service.
[[nodiscard]] double retries_left(const gateway_request& request);

/// Whether the next send can be paid for now. A request that can't should not wait for an upstream.
[[nodiscard]] bool can_pay_for_send(const gateway_request& request);

/// Whether the request should be sent in the way that takes the fewest retries.
[[nodiscard]] bool should_save_retries(const gateway_request& request);

/// Holds a retry for the next send if that would be one. Returns false if the budget is exhausted.
[[nodiscard]] bool try_charge_send(gateway_request& request);

/// Spends the retry held for the send in progress, if any: the request has certainly reached its upstream,
/// and counts there.
void did_reach_upstream(gateway_request& request);

/// Ends the payment for the send in progress, if a retry is still held for it: spends it if the send counts
/// at the upstream, returns it otherwise.
void settle_send(gateway_request& request, bool does_count);

/// Takes over what a host to which the request was forwarded tells of its arrivals; nothing if it told
/// nothing.
void take_over_arrivals(gateway_request& request, const std::optional<decision::told_arrivals>& told);

/// Holds retries for sends that are still to come until there are that many. Returns false if the budget is
/// too low.
[[nodiscard]] bool try_reserve_retries(gateway_request& request, int count);

/// The same for sending the prompt to a prefill engine and for the run that must follow it.
[[nodiscard]] bool try_reserve_prompt_and_run(gateway_request& request);

/// Returns to the retry budget what is held for more sends to come than that.
void release_reserved_retries(gateway_request& request, int keep = 0);

} // namespace postpaddle::gateway
