// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_request.h>

#include <optional>

namespace postpaddle::gateway {

/// Whether to wait for an engine with room, or to take the best one at once.
enum class room_wait { none, until_idle_timeout };

/// A decode engine that processes the prompt itself; none if there is none, or if the request's time is up or
/// its caller has disconnected. With `until_idle_timeout`, waits for one with room for up to
/// `decision::idle_timeout` of the route, as an engine without room would refuse the request, at the retry
/// budget's cost.
[[nodiscard]] std::optional<decision::engine_plan> await_colocated_engine(const gateway_request& request,
                                                                          const decision::prompt_size& size,
                                                                          room_wait wait,
                                                                          wire::yield_context yield);

} // namespace postpaddle::gateway
