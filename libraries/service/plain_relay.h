// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <service/request_context.h>

namespace postpaddle::service {

/// Carries a plain call to one of its route's upstreams and the whole answer back.
[[nodiscard]] filter_result relay_plain(request_context& context, wire::yield_context yield);

} // namespace postpaddle::service
