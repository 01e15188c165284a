// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_request.h>
#include <gateway/upstream_exchange.h>

namespace postpaddle::gateway {

/// Names the request by what all its tries have in common. Its caller must have been identified.
void name_request(gateway_request& request);

/// A send has ended before anything of an answer came: where its connection broke, finds out whether the
/// upstream's process has ended under the request.
///
/// A broken connection alone is no sign of that: links are reset and answers cut while the process goes on.
/// One that turns new connections away right after it has ended. Costs a connection for each break.
void look_after_break(gateway_request& request, const ports::upstream_send& send,
                      const exchange_result& exchange, wire::yield_context yield);

} // namespace postpaddle::gateway
