// SPDX-License-Identifier: BSD-2-Clause
#include <decision/engine_pace.h>

#include <algorithm>
#include <cmath>

namespace postpaddle::decision {

namespace {

/// What a read still weighs after the next one: the line follows some fifty reads.
constexpr double fading = 0.98;
/// No engine is taken to read faster than a million tokens a second, or slower than a thousand.
constexpr double fastest = 1e-6;
constexpr double slowest = 1e-3;

double seconds_a_token(const engine_pace& pace) {
    const double spread = pace.weight * pace.tokens_squared - pace.tokens * pace.tokens;
    // Reads of prompts of one size don't tell the fixed part from the rest: all counts by token then.
    if (spread <= 0)
        return std::clamp(pace.seconds / std::max(1.0, pace.tokens), fastest, slowest);
    const double slope = (pace.weight * pace.tokens_seconds - pace.tokens * pace.seconds) / spread;
    return std::clamp(slope, fastest, slowest);
}

} // namespace

void learn_read(engine_pace& pace, double prompt_tokens, double seconds) {
    if (!std::isfinite(seconds) || seconds <= 0 || prompt_tokens <= 0)
        return;
    pace.weight = pace.weight * fading + 1;
    pace.tokens = pace.tokens * fading + prompt_tokens;
    pace.seconds = pace.seconds * fading + seconds;
    pace.tokens_squared = pace.tokens_squared * fading + prompt_tokens * prompt_tokens;
    pace.tokens_seconds = pace.tokens_seconds * fading + prompt_tokens * seconds;
}

double seconds_for_tokens(const engine_pace& pace, double prompt_tokens) {
    return seconds_a_token(pace) * prompt_tokens;
}

double seconds_alone(const engine_pace& pace, double prompt_tokens) {
    const double fixed = (pace.seconds - seconds_a_token(pace) * pace.tokens) / pace.weight;
    return std::max(0.0, fixed) + seconds_for_tokens(pace, prompt_tokens);
}

} // namespace postpaddle::decision
