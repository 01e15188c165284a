// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>

namespace postpaddle::host {

/// Utilization of the two pools of a deployment, 0 to 1.
struct pool_load {
    double prefill = 0;
    double decode = 0;

    bool operator==(const pool_load&) const = default;
};

/// Direction in which to move an engine.
enum class pool_move { none, to_prefill, to_decode };

/// Thresholds for moving engines between pools.
struct balance_options {
    double high = 0.9; ///< A pool at or above this load needs another engine.
    double low = 0.5;  ///< A pool at or below this load can give up an engine.
    base::duration sustained{std::chrono::seconds(60)};  ///< How long the imbalance must last.
    base::duration cool_down{std::chrono::seconds(300)}; ///< Minimum time between two moves.
};

/// Balancing state of one deployment.
struct balance_state {
    pool_move wanted = pool_move::none;
    base::time_point wanted_since{};
    base::time_point last_move{};
    bool has_moved = false;
};

/// Updates the state with the current load and returns the move to make, if any. Requires a sustained
/// imbalance and a cool-down between moves, to prevent oscillation.
[[nodiscard]] pool_move next_pool_move(balance_state& state, const pool_load& load,
                                       const balance_options& options, base::time_point now);

} // namespace postpaddle::host
