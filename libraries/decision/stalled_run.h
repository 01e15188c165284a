// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>

/// Whether to give up a run whose upstream has fallen silent.
///
/// A sound upstream may fall silent for a second or so and go on, and a dead one looks the same at first. So
/// a run is never given up for its silence alone: another one must be certain, and the upstream must show no
/// other sign of life, or the caller must be about to leave.
namespace postpaddle::decision {

/// How earlier stalls at an upstream ended. Both counts decay.
struct stall_history {
    double recovered = 0; ///< Runs that went on.
    double lost = 0;      ///< Runs that never did, although the upstream was alive.
    base::time_point updated_at{};

    bool operator==(const stall_history&) const = default;
};

enum class stall_end { recovered, lost };

void record_stall(stall_history& history, stall_end end, base::time_point now);

/// Whether stalled runs at the upstream may be expected to go on. So it is until they are seen not to.
[[nodiscard]] bool is_recovery_expected(const stall_history& history, base::time_point now);

/// How a request would end if it were given up without another attempt.
enum class ending_alone {
    refusal,      ///< Nothing has run: a refusal would be true.
    failure,      ///< It may have run, and nothing of an answer has been passed on.
    broken_answer ///< A part of the answer has been passed on.
};

/// A run without progress.
struct stall_facts {
    base::duration silent{};         ///< Since its last event, or since it was sent.
    base::duration limit{};          ///< Silence after which the upstream is doubted.
    base::duration takeover_limit{}; ///< Silence after which another run would come too late for the caller.
    /// For how long bytes have arrived that complete no event.
    base::duration unfinished{};
    bool is_alive = false; ///< The upstream has shown another sign of life meanwhile.
    bool is_recovery_expected = true;
    ending_alone ending = ending_alone::failure;

    bool operator==(const stall_facts&) const = default;
};

/// Whether to replace the run by another one, provided that this is certain to be possible.
[[nodiscard]] bool should_replace(const stall_facts& facts);

/// Whether to give the run up although nothing is certain to replace it, as it has not run.
[[nodiscard]] bool should_give_up_alone(const stall_facts& facts);

/// Whether a sign of life at `heard_at` tells that the upstream is alive, for a run that has been silent
/// since `silent_since` at an upstream that is doubted after `limit`.
[[nodiscard]] bool is_sign_of_life(base::time_point heard_at, base::time_point silent_since,
                                   base::duration limit, base::time_point now);

/// Silence after which the upstream is asked for a sign of life, so that the answer is there by `limit`.
[[nodiscard]] base::duration silence_before_probe(base::duration limit);

/// Age of an upstream's last sign of life from which it is asked for another one.
[[nodiscard]] base::duration age_before_next_probe(base::duration limit);

/// How long a caller waits for the next event before it leaves, by the platform's protocol.
[[nodiscard]] base::duration caller_patience(base::duration latency_target, base::duration gap_target);

} // namespace postpaddle::decision
