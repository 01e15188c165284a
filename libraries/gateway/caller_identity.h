// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_request.h>

#include <optional>

namespace postpaddle::gateway {

/// Reason given when a request ends because its API key was revoked.
inline constexpr const char* key_revoked_reason = "the key was taken away";

/// Resolves the request's API key to an organisation, using the settings in force on arrival. Returns false
/// if the route needs a key and the key is missing or unknown.
[[nodiscard]] bool identify_caller(gateway_request& request);

/// Returns whether the newest settings still accept the request's key. Checked before each send and while the
/// request waits; work that an upstream has already started is not stopped. If the key now belongs to another
/// organisation, later sends carry that organisation's id.
[[nodiscard]] bool is_key_valid(gateway_request& request);

/// Charges the request against its organisation's cluster-wide limit. Returns the time until it fits if it is
/// over the limit.
[[nodiscard]] std::optional<base::duration> count_against_limit(gateway_request& request);

/// Refunds the charge of a request that has not run.
void refund_if_not_run(gateway_request& request);

/// Number of hosts that share the organisation limits, as known to this host.
[[nodiscard]] host::limit_participants limit_participants_of(const gateway_state& state);

} // namespace postpaddle::gateway
