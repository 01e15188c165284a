// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/estimate.h>

namespace postpaddle::decision {

/// How fast a service's engines work, learned from their answers.
///
/// A prompt that meets no other at its prefill engine takes a fixed time and some time a token. Both come
/// from a least-squares line through such reads, in which older ones fade out and those that took longer than
/// expected weigh less: a prompt may meet others that this host has not heard of.
struct engine_pace {
    // Weighted sums over reads, in tokens and seconds. They start with two made-up reads, of a prompt of 500
    // tokens in 0.06 s and one of 4,000 in 0.15 s, that weigh a fifth of a real read each.
    double weight = 0.4;
    double tokens = 900;
    double seconds = 0.042;
    double tokens_squared = 3'250'000;
    double tokens_seconds = 126;
    /// Seconds from sending a request with its KV cache to a decode engine until the first event.
    estimate first_event = make_rough_estimate(0.06);

    bool operator==(const engine_pace&) const = default;
};

/// Takes a read of a prompt that met no other.
void learn_read(engine_pace& pace, double prompt_tokens, double seconds);

/// Seconds that a prefill engine needs for so many tokens more.
[[nodiscard]] double seconds_for_tokens(const engine_pace& pace, double prompt_tokens);

/// Seconds until a prompt has been read that meets no other.
[[nodiscard]] double seconds_alone(const engine_pace& pace, double prompt_tokens);

} // namespace postpaddle::decision
