// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_request.h>

namespace postpaddle::gateway {

/// Whether requests of the service wait until one of its upstreams may be sent another: a new one goes behind
/// them.
[[nodiscard]] bool has_opening_line(const gateway_request& request);

/// Waits, behind those that came before, until an upstream of the request's service may be sent another one.
/// Says at once that there will be none in time; the request then knows when it would have been its turn.
[[nodiscard]] bool await_opening(gateway_request& request, wire::yield_context yield);

} // namespace postpaddle::gateway
