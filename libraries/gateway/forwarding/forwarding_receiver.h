// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_state.h>
#include <wire/caller_connection.h>

namespace postpaddle::gateway {

/// Serves a request that another host has forwarded, or declines it at once.
///
/// Only hosts that this one knows, at their own address, may forward. The request takes part in everything as
/// if its caller had come here, but its limit was counted at the first host, and it is not forwarded again.
void serve_forwarded(gateway_state& state, wire::caller_connection& connection,
                     const wire::http_request& message, wire::yield_context yield);

} // namespace postpaddle::gateway
