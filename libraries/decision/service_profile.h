// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/engine_pace.h>
#include <decision/estimate.h>

namespace postpaddle::decision {

/// What a host has learned of one service's requests and engines. The starts are guesses: the first requests
/// weigh as much as they do.
struct service_profile {
    estimate event_seconds = make_rough_estimate(0.05);  ///< Between two events of a stream.
    estimate output_tokens = make_rough_estimate(600);   ///< Tokens that a request puts out.
    estimate prompt_tokens = make_rough_estimate(3'000); ///< Tokens of a request's prompt.
    int streams_timed = 0;                               ///< Streams whose events have been timed.
    engine_pace pace;

    bool operator==(const service_profile&) const = default;
};

/// How long a request of mean size keeps its place at a decode engine, in seconds. Worked out from its parts:
/// a mean over streams that have ended is too short, as the long ones have not.
[[nodiscard]] inline double hold_seconds(const service_profile& profile, int tokens_an_event) {
    const double events = profile.output_tokens.value / (tokens_an_event > 0 ? tokens_an_event : 1);
    return profile.pace.first_event.value + events * profile.event_seconds.value;
}

} // namespace postpaddle::decision
