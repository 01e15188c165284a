// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/admission.h>
#include <gateway/gateway_request.h>

#include <optional>

namespace postpaddle::gateway {

/// Engines for a request, or why there are none.
struct place_result {
    std::optional<decision::engine_plan> plan;
    const char* reason = "no engine"; ///< Where there is no plan.
};

/// What the service's engines can hold.
[[nodiscard]] settings::engine_capacity capacity_of(const gateway_request& request);

/// Finds engines with a place for the request, and waits for one where it can still be in time.
///
/// Requests of all hosts that wait go by age, as hosts tell each other how long theirs have waited.
[[nodiscard]] place_result await_engine_place(gateway_request& request, const decision::prompt_size& size,
                                              wire::yield_context yield);

} // namespace postpaddle::gateway
