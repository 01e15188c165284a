// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_request.h>

#include <set>

namespace postpaddle::gateway {

/// Engines of the request's service that hold its prompt in their memory, from an earlier try of its caller.
///
/// Asks up to some ten engines what they hold; those that don't answer soon count as not holding it. Empty
/// for a request that names no parts of its prompt.
[[nodiscard]] std::set<base::upstream_id> find_engines_holding(gateway_request& request,
                                                               wire::yield_context yield);

/// Whether one engine holds the request's prompt, as it says now.
[[nodiscard]] bool does_engine_hold(gateway_request& request, const base::upstream_id& engine,
                                    wire::yield_context yield);

} // namespace postpaddle::gateway
