// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/effect.h>
#include <decision/event.h>
#include <decision/router_state.h>

namespace postpaddle::decision {

/// Goes on after an engine's part has failed: reuses a kept prefill result, prefills again, or ends the
/// request.
void recover(router_state& state, request_state& request, const phase_failed& failed, base::time_point now,
             effects& out);

/// Counts a request's prompt work as thrown away.
void count_waste(router_state& state, request_state& request);

} // namespace postpaddle::decision
