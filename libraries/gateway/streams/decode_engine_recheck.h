// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/overload/decode_recheck.h>
#include <gateway/gateway_request.h>

#include <map>
#include <optional>

namespace postpaddle::gateway {

/// Work of the other hosts at one engine, by host, as last reported.
using uses_by_host = std::map<base::host_id, decision::instance_use>;

/// Whether prefills that would be in vain are avoided for the request: the decode engine is checked again,
/// and the retry budget for a prompt and its run is reserved before the prompt is sent.
[[nodiscard]] bool avoids_wasted_prefills(const gateway_request& request);

[[nodiscard]] uses_by_host reported_uses(const gateway_state& state, const base::upstream_id& engine);

/// A request's reservation at the decode engine that was chosen before its prefill.
struct decode_reservation {
    base::upstream_id engine;
    std::uint64_t start_time_ms = 0; ///< Start of the engine. The reservation ends when it restarts.
    decision::instance_use use;
    uses_by_host uses_when_chosen; ///< Work of the other hosts there.
    base::zone_id source_zone;     ///< Of the engine that retains the prompt.
};

/// Describes the reservation just made for a plan with a prefill engine, to recheck it after the prefill.
[[nodiscard]] decode_reservation describe_reservation(gateway_state& state, const decision::engine_plan& plan,
                                                      const decision::instance_use& use);

/// Checks the reservation against what hosts have reported since. Returns the engine to reserve now, if the
/// reservation must be made again: another engine with free capacity if the request has to leave its own, or
/// the same one if it has restarted. Records the decision for the log.
[[nodiscard]] std::optional<base::upstream_id> recheck_decode_engine(gateway_request& request,
                                                                     const decode_reservation& reservation,
                                                                     const decision::prompt_size& size);

} // namespace postpaddle::gateway
