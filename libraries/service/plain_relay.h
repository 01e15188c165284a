// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <service/request_context.h>

namespace postpaddle::service {

/// Forwards a plain request to an upstream of its route and sends the complete response to the caller.
/// Retries on other upstreams where the request's execution rule allows it.
[[nodiscard]] filter_result relay_plain(request_context& context, wire::yield_context yield);

} // namespace postpaddle::service
