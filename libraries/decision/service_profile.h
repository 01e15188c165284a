// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/engine_pace.h>
#include <decision/estimate.h>

namespace postpaddle::decision {

/// What a host has learned of one service's requests and engines. The starts are guesses: the first requests
/// weigh as much as they do.
struct service_profile {
    estimate hold_seconds = make_rough_estimate(2.5);    ///< How long a request keeps its decode place.
    estimate output_tokens = make_rough_estimate(600);   ///< Tokens that a request puts out.
    estimate prompt_tokens = make_rough_estimate(3'000); ///< Tokens of a request's prompt.
    int streams_passed = 0;                              ///< Streams passed on whole.
    engine_pace pace;

    bool operator==(const service_profile&) const = default;
};

} // namespace postpaddle::decision
