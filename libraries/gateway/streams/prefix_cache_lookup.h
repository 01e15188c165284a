// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_request.h>

#include <set>

namespace postpaddle::gateway {

/// Finds engines of the request's service that still hold its prompt in memory from an earlier attempt.
///
/// Queries a bounded number of engines; those that do not answer in time count as not holding it. Returns an
/// empty set if the request has no prompt key.
[[nodiscard]] std::set<base::upstream_id> find_engines_holding(gateway_request& request,
                                                               wire::yield_context yield);

/// Asks one engine whether it holds the request's prompt now.
[[nodiscard]] bool does_engine_hold(gateway_request& request, const base::upstream_id& engine,
                                    wire::yield_context yield);

} // namespace postpaddle::gateway
