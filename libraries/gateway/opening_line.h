// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_request.h>

namespace postpaddle::gateway {

/// Whether a request that has just come would take an opening, at the instance that was chosen for it, from
/// one that waits for it.
[[nodiscard]] bool is_before_line(const gateway_request& request, const base::upstream_id& chosen);

/// Waits, behind those that came before, until an upstream of the request's service may be sent another one.
/// Says as soon as that is known that there will be none in time; the request then knows when it would have
/// been its turn. What may go to fewer upstreams than others does not hold up those behind it.
[[nodiscard]] bool await_opening(gateway_request& request, wire::yield_context yield);

} // namespace postpaddle::gateway
