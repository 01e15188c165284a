// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/effect.h>
#include <decision/event.h>
#include <decision/router_state.h>

namespace postpaddle::decision {

/// The whole decision core: takes one event at a time and says what to do.
///
/// Does no I/O, reads no clock and owns no thread. Events of an attempt that is over are counted and
/// otherwise ignored, so late and crossed answers change nothing.
[[nodiscard]] effects step(router_state& state, const event& happened, base::time_point now);

/// The story of a request in progress or lately ended, or null.
[[nodiscard]] const explanation* explain(const router_state& state, const base::request_id& id);

/// Requests that wait in any queue.
[[nodiscard]] std::size_t queued_requests(const router_state& state);

} // namespace postpaddle::decision
