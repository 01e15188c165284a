// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/effect.h>
#include <decision/event.h>
#include <decision/router_state.h>

namespace postpaddle::decision {

/// Handles a failed phase: reuses the retained KV cache, prefills again, or ends the request.
void recover(router_state& state, request_state& request, const phase_failed& failed, base::time_point now,
             effects& out);

/// Counts a request's prefill as wasted.
void count_wasted_prefill(router_state& state, request_state& request);

} // namespace postpaddle::decision
