// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/streams/retained_cache.h>
#include <gateway/upstreams/stall_monitor.h>

namespace postpaddle::gateway {

/// Sends the request's prompt to a prefill engine and has `retained` take charge of the KV cache that the
/// engine retains. Records how long the engine took. `monitor` decides how long to wait. Returns false, and
/// excludes the engine from further attempts, if the prompt was not processed.
[[nodiscard]] bool send_prefill(gateway_request& request, const base::upstream_id& engine,
                                const decision::prompt_size& size, stall_monitor& monitor,
                                retained_cache& retained, wire::yield_context yield);

} // namespace postpaddle::gateway
