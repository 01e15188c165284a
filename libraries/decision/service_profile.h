// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/engine_speed.h>
#include <decision/estimate.h>
#include <decision/response_times.h>

namespace postpaddle::decision {

/// Statistics of a service's requests and engines, learned by this host. The initial values are estimates.
struct service_profile {
    estimate event_seconds = make_rough_estimate(0.05);  ///< Between two events of a stream.
    estimate output_tokens = make_rough_estimate(600);   ///< Per request.
    estimate prompt_tokens = make_rough_estimate(3'000); ///< Per request.
    int streams_timed = 0;                               ///< Streams whose event intervals were measured.
    engine_speed speed;
    response_times responses; ///< To plain requests.

    bool operator==(const service_profile&) const = default;
};

/// Mean time in seconds that a request occupies its slot at a decode engine. Computed from its parts, as a
/// mean over ended streams would miss the long ones in progress.
[[nodiscard]] inline double hold_seconds(const service_profile& profile, int tokens_per_event) {
    const double events = profile.output_tokens.value / (tokens_per_event > 0 ? tokens_per_event : 1);
    return profile.speed.first_event.value + events * profile.event_seconds.value;
}

} // namespace postpaddle::decision
