// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/router_state.h>
#include <service/control_thread.h>
#include <service/peer_codec.h>

namespace postpaddle::service {

/// State of the decision core as JSON; no key and no prompt text is in it.
[[nodiscard]] json dump_router(const decision::router_state& state, base::time_point now);

/// State of the control thread as JSON.
[[nodiscard]] json dump_control(const control_thread& control, base::time_point now);

/// A request's story as JSON.
[[nodiscard]] json dump_explanation(const decision::explanation& story);

} // namespace postpaddle::service
