// SPDX-License-Identifier: BSD-2-Clause
#include <decision/engine_speed.h>

#include <algorithm>
#include <cmath>

namespace postpaddle::decision {

namespace {

/// Decay of a sample's weight per new sample: the fit follows the last fifty or so.
constexpr double decay = 0.98;
/// Bounds of the prefill time per token, in seconds.
constexpr double min_seconds_per_token = 1e-6;
constexpr double max_seconds_per_token = 1e-3;

/// Total weight from which on the fit is good enough to judge new samples by.
constexpr double min_known_weight = 4;
/// Weight of a sample above its expected time: the prompt may have queued behind others unknown to this host.
constexpr double slow_weight = 0.2;
/// Such a sample is capped at this multiple of the expected time.
constexpr double max_excess = 2;

double seconds_per_token(const engine_speed& speed) {
    const double determinant = speed.weight * speed.tokens_squared - speed.tokens * speed.tokens;
    // Prompts of a single size can't separate the fixed part from the time per token: count all as time per
    // token.
    if (determinant <= 0)
        return std::clamp(speed.seconds / std::max(1.0, speed.tokens), min_seconds_per_token,
                          max_seconds_per_token);
    const double slope = (speed.weight * speed.tokens_seconds - speed.tokens * speed.seconds) / determinant;
    return std::clamp(slope, min_seconds_per_token, max_seconds_per_token);
}

} // namespace

void record_unqueued_prefill(engine_speed& speed, double prompt_tokens, double seconds) {
    if (!std::isfinite(seconds) || seconds <= 0 || prompt_tokens <= 0)
        return;
    const double expected = unqueued_prefill_seconds(speed, prompt_tokens);
    const bool is_known = speed.weight >= min_known_weight;
    const double weight = is_known && seconds > expected ? slow_weight : 1;
    const double capped = is_known ? std::min(seconds, max_excess * expected) : seconds;
    speed.weight = speed.weight * decay + weight;
    speed.tokens = speed.tokens * decay + weight * prompt_tokens;
    speed.seconds = speed.seconds * decay + weight * capped;
    speed.tokens_squared = speed.tokens_squared * decay + weight * prompt_tokens * prompt_tokens;
    speed.tokens_seconds = speed.tokens_seconds * decay + weight * prompt_tokens * capped;
}

double seconds_for_tokens(const engine_speed& speed, double prompt_tokens) {
    return seconds_per_token(speed) * prompt_tokens;
}

double unqueued_prefill_seconds(const engine_speed& speed, double prompt_tokens) {
    const double fixed = (speed.seconds - seconds_per_token(speed) * speed.tokens) / speed.weight;
    return std::max(0.0, fixed) + seconds_for_tokens(speed, prompt_tokens);
}

} // namespace postpaddle::decision
