// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_request.h>

namespace postpaddle::gateway {

/// Reason given to callers and in logs for refusing a request that can't end before the host stops.
inline constexpr const char* stopping_reason = "the host is stopping";

/// Gives each request in progress, and each that arrives from now on, a deadline before the host's end. Wakes
/// those that wait, so that they decide again by the time that is left.
void begin_drain(gateway_state& state, const decision::drain_schedule& schedule);

/// Limits the deadline of a request to the host's end, if the host is stopping. Call when it is set.
void limit_to_drain(gateway_request& request);

/// Lets a response that begins use the time until the host's end.
void did_begin_response(gateway_request& request);

/// Whether a request that no upstream has been sent may end later than the host. It can be served by another
/// one.
[[nodiscard]] bool is_beyond_drain(const gateway_request& request);

/// How long an attempt may take before another upstream is asked. Of what a host's stop leaves of the
/// request's time, an attempt gets as much as the service's responses need.
[[nodiscard]] base::duration attempt_time(const gateway_request& request);

/// Whether nothing may be waited for any more on the request's behalf: its caller is gone, its deadline has
/// passed, or the host ends so soon that the request has to be answered now.
[[nodiscard]] bool is_wait_over(const gateway_request& request);

/// Pauses while the request waits for something that is polled. Ends early when its caller leaves, or when it
/// has to decide again because its host stops; check `is_wait_over` afterwards.
void pause_request(const gateway_request& request, base::duration pause, wire::yield_context yield);

/// Ends the requests that still have no response, as they would be cut. To be called from
/// `drain_schedule::answer_by` on until the host's end.
void end_unanswered(gateway_state& state);

} // namespace postpaddle::gateway
