// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/router_state.h>
#include <service/control_thread.h>
#include <service/peer_codec.h>

namespace postpaddle::service {

/// Returns the router's state as JSON, without API keys and prompt text.
[[nodiscard]] json dump_router(const decision::router_state& state, base::time_point now);

/// Returns the control thread's state as JSON.
[[nodiscard]] json dump_control(const control_thread& control, base::time_point now);

/// Returns a request's trace as JSON.
[[nodiscard]] json dump_explanation(const decision::explanation& explanation);

} // namespace postpaddle::service
