// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_request.h>

#include <functional>

namespace postpaddle::gateway {

/// Runs `serve`, which ends the request. An exception out of it, which is a defect, ends only this request
/// and not the process: its caller gets 500, or an aborted response if one has begun.
void serve_to_end(gateway_request& request, const std::function<void()>& serve, wire::yield_context yield);

} // namespace postpaddle::gateway
