// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_request.h>

/// Records what streaming requests show of their service and its engines, for later decisions.
namespace postpaddle::gateway {

/// Number of events over which the event interval is measured; enough to average out the first pause.
inline constexpr int measured_events = 10;

/// Events that a request has received so far.
struct stream_events {
    int count = 0;            ///< From all engines.
    base::upstream_id engine; ///< Which sends them now.
    bool is_resumed = false;  ///< Another engine has sent the first ones.
    bool has_stalled = false; ///< A pause between two of them was a silence, which says nothing of the pace.
};

/// Determines the request's size and records it in the service's estimates.
[[nodiscard]] decision::prompt_size record_demand(const gateway_request& request);

/// Records the time between events, from the first events of the stream, unless it has stalled.
void record_event_interval(gateway_request& request, const stream_events& events);

/// Records the output of a complete stream.
void record_complete_stream(gateway_request& request, const stream_events& events);

/// Records that a decode engine refused the request although `reserved_tokens` seemed free there and are
/// still reserved.
void record_stream_refusal(const gateway_request& request, const base::upstream_id& engine,
                           const ports::answer_facts& facts, const decision::prompt_size& size,
                           double reserved_tokens);

} // namespace postpaddle::gateway
