// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/admission.h>
#include <gateway/gateway_request.h>
#include <gateway/operations/waiting_entry.h>

#include <nlohmann/json.hpp>

#include <optional>

namespace postpaddle::gateway {

/// Candidate engines for a request and the facts that decide on its admission.
struct slot_candidate {
    decision::engine_plan plan;
    decision::admission_facts facts;
    nlohmann::json share; ///< For the log: the share on which its position in the queue is based, or null.
};

/// What the queue needs to know of a request, whether it waits already or not.
[[nodiscard]] waiting_request waiting_request_of(const gateway_request& request,
                                                 const decision::prompt_size& size);

/// Looks for engines for the request; none if none can be used at all. Updates `entry`, the request's entry
/// among the waiting ones (null: it does not wait yet).
[[nodiscard]] std::optional<slot_candidate>
find_slot(const gateway_request& request, const decision::prompt_size& size, scoped_waiting_entry* entry);

} // namespace postpaddle::gateway
