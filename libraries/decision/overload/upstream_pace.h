// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>

#include <cstdint>

namespace postpaddle::decision {

/// Processing times of one start of an engine relative to its service's mean, as one host learned them.
/// Above 1 is slower.
struct engine_pace {
    double prefill = 1; ///< Of prompts.
    double decode = 1;  ///< Between two events of a stream.

    bool operator==(const engine_pace&) const = default;
};

/// Range of valid relative processing times. Others come from corrupt reports.
inline constexpr double min_pace = 0.05;
inline constexpr double max_pace = 20;

} // namespace postpaddle::decision
