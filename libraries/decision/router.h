// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/effect.h>
#include <decision/event.h>
#include <decision/router_state.h>

namespace postpaddle::decision {

/// Applies an event to the routing state machine and returns the resulting effects.
///
/// Does no I/O, reads no clock and owns no thread. Events of a superseded attempt are counted and
/// otherwise ignored, so late or reordered responses have no effect.
[[nodiscard]] effects step(router_state& state, const event& happened, base::time_point now);

/// Returns the trace of a request in progress or recently ended, or null.
[[nodiscard]] const explanation* explain(const router_state& state, const base::request_id& id);

/// Number of requests waiting in all queues.
[[nodiscard]] std::size_t queued_requests(const router_state& state);

} // namespace postpaddle::decision
