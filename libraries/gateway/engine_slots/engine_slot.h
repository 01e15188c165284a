// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/admission.h>
#include <gateway/gateway_request.h>

#include <optional>

namespace postpaddle::gateway {

/// Engines for a request, or why there are none.
struct engine_slot_result {
    std::optional<decision::engine_plan> plan;
    const char* reason = "no engine"; ///< Set if there is no plan.
};

/// Capacity of one engine of the request's service.
[[nodiscard]] settings::engine_capacity capacity_of(const gateway_request& request);

/// Engines with a free slot for the request, if it may have one now: without overtaking those that wait.
[[nodiscard]] std::optional<decision::engine_plan> find_free_engine_slot(const gateway_request& request,
                                                                         const decision::prompt_size& size);

/// Chooses engines with a free slot for the request, waiting for one if it can still meet its latency target.
///
/// Waiting requests are served in one order across all hosts, see `decision::wait_queue`; hosts exchange what
/// it needs of theirs.
[[nodiscard]] engine_slot_result
await_engine_slot(gateway_request& request, const decision::prompt_size& size, wire::yield_context yield);

} // namespace postpaddle::gateway
