// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>

#include <optional>

namespace postpaddle::decision {

/// How long the plain responses of a service take, from the request's send to the response's end.
struct response_times {
    int timed = 0;            ///< Responses so far, up to as many as make an expectation.
    base::duration longest{}; ///< Of the latest ones: each shorter one lowers it a little.

    bool operator==(const response_times&) const = default;
};

void record_response(response_times& times, base::duration taken);

/// Longest that a response is expected to take. Nothing before enough of them were timed.
[[nodiscard]] std::optional<base::duration> longest_response(const response_times& times);

} // namespace postpaddle::decision
