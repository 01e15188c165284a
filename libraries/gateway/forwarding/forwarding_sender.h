// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/forwarding/forwarded_request.h>
#include <gateway/gateway_request.h>
#include <gateway/upstreams/upstream_exchange.h>

#include <optional>
#include <set>

namespace postpaddle::gateway {

/// Whether the request should go to another host: this one can't reach its service, and another one may.
[[nodiscard]] bool should_forward(const gateway_request& request);

/// Whether there is a host, other than these, that the request could be forwarded to now.
[[nodiscard]] bool has_forwarding_target(const gateway_request& request,
                                         const std::set<base::host_id>& excluded);

/// A request that another host has taken.
struct forwarded_exchange {
    /// `answered`: an upstream's answer follows. `not_run`: a refusal for the caller follows. Otherwise the
    /// request may have run and there is no answer.
    exchange_result exchange;
    base::host_id host;
    int granted_attempts = 0; ///< Upstreams that the host may use.
    int told_attempts = 0;    ///< Upstreams that it has used so far.
};

/// Forwards the request to another host, and to a further one as long as none has taken it. Returns nothing
/// if none takes it; it has not run then, and is not forwarded again.
[[nodiscard]] std::optional<forwarded_exchange>
forward_request(gateway_request& request, const std::optional<std::uint64_t>& resume_after,
                wire::yield_context yield);

/// Finishes the exchange once the answer has been read: accounts for the attempts of an answer that broke,
/// returns the connection to the pool and records the outcome for the log.
void end_forwarding(gateway_request& request, forwarded_exchange& forwarded);

} // namespace postpaddle::gateway
