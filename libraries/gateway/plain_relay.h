// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_request.h>

namespace postpaddle::gateway {

/// Carries a request with one whole answer to an upstream and its answer back.
[[nodiscard]] request_ending relay_plain(gateway_request& request, wire::yield_context yield);

} // namespace postpaddle::gateway
