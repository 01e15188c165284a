// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/estimate.h>

namespace postpaddle::decision {

/// Speed of a service's engines, learned from their responses.
///
/// A prefill that does not queue takes a fixed time plus a time per token. Both are fitted to such prefills
/// by exponentially weighted least squares. Samples above the expected time weigh less, as the prompt may
/// have queued behind others unknown to this host.
struct engine_speed {
    // Weighted sums over prefills, in tokens and seconds. The initial values stand for two prefills with a
    // weight of 0.2 each: 500 tokens in 0.06 s and 4,000 tokens in 0.15 s.
    double weight = 0.4;
    double tokens = 900;
    double seconds = 0.042;
    double tokens_squared = 3'250'000;
    double tokens_seconds = 126;
    /// Seconds from sending a request with its KV cache to a decode engine until the first event.
    estimate first_event = make_rough_estimate(0.06);

    bool operator==(const engine_speed&) const = default;
};

/// Adds a sample of a prefill that did not queue.
void record_unqueued_prefill(engine_speed& speed, double prompt_tokens, double seconds);

/// Seconds of prefill for additional tokens, without the fixed part.
[[nodiscard]] double seconds_for_tokens(const engine_speed& speed, double prompt_tokens);

/// Seconds of prefill for a prompt that does not queue.
[[nodiscard]] double unqueued_prefill_seconds(const engine_speed& speed, double prompt_tokens);

} // namespace postpaddle::decision
