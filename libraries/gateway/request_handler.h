// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_request.h>

namespace postpaddle::gateway {

/// Serves a client connection until it closes.
void serve_caller(gateway_state& state, wire::caller_connection& connection, wire::yield_context yield);

/// Attempts that the route allows.
[[nodiscard]] decision::attempt_record make_record(const settings::route_entry& route);

/// Sets what the request's place among waiting requests depends on, apart from time: rank and share.
void set_order(gateway_request& request);

/// Refuses a request before it is sent to any upstream.
void reject(gateway_request& request, int status, const char* reason, wire::yield_context yield,
            std::optional<base::duration> retry_after = std::nullopt);

/// Relays a request that may be served, and logs its end.
void relay_request(gateway_request& request, wire::yield_context yield);

} // namespace postpaddle::gateway
