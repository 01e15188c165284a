// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_request.h>

namespace postpaddle::gateway {

/// Forwards a request without a stream to an upstream, and the upstream's answer to the client.
[[nodiscard]] request_ending relay_plain(gateway_request& request, wire::yield_context yield);

} // namespace postpaddle::gateway
