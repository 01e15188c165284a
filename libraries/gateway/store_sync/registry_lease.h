// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_request.h>
#include <gateway/gateway_state.h>
#include <host/replica_lease.h>

namespace postpaddle::gateway {

/// Why a request is refused while this host can't tell which upstreams leave.
inline constexpr const char* old_registry_reason = "what this host knows of the upstreams is too old";
/// Callers come back at another host, which can serve them at once.
inline constexpr base::duration old_registry_retry_after = std::chrono::milliseconds(100);

/// State of the lease on this host's replica of the registry, without which it sends nothing to upstreams.
[[nodiscard]] host::lease_state registry_lease_state(const gateway_state& state);

/// Whether the store answered this host within the bound without telling it all that it has.
[[nodiscard]] bool is_registry_uninformed(const gateway_state& state);

/// Whether requests may be sent on what this host knows of the registry.
[[nodiscard]] bool may_use_registry(const gateway_state& state);

/// Waits until the lease is renewed, for as long as answers of other hosts may take and at most `max_wait`,
/// and not beyond the request's time. Returns whether requests may be sent.
[[nodiscard]] bool await_registry_lease(const gateway_request& request, base::duration max_wait,
                                        wire::yield_context yield);

/// Whether the lease has lapsed for so long that requests need not wait for it.
[[nodiscard]] bool is_registry_lost(const gateway_state& state);

} // namespace postpaddle::gateway
