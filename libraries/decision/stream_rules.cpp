// SPDX-License-Identifier: BSD-2-Clause
#include <decision/stream_rules.h>

namespace postpaddle::decision {

namespace {

using namespace std::chrono_literals;

/// A step is given up after this many times what was expected, and the grace on top.
constexpr double late_factor = 3;
constexpr base::duration late_grace = 400ms;
/// A stream that may go on elsewhere does so after this many times the route's longest pause.
constexpr int silence_factor = 4;
/// Part of the time for which a prompt is kept that it is counted on.
constexpr double kept_part = 0.8;
/// Part of that time after which it is soon over.
constexpr double lapsing_part = 0.5;
/// Output tokens for which memory is promised ahead of what a stream has put out.
constexpr double memory_lookahead = 150;
/// An engine with less than this part of its memory in use surely has a place.
constexpr double surely_free = 0.5;

} // namespace

base::duration patience_for_step(base::duration expected) {
    return base::from_seconds(base::to_seconds(expected) * late_factor) + late_grace;
}

base::duration patience_for_silence(base::duration gap_target) { return gap_target * silence_factor; }

bool may_be_full(const std::optional<instance_load>& load, const settings::engine_capacity& capacity,
                 const prompt_size& size) {
    if (!load || load->waiting > 0)
        return true;
    const double taken = load->running * (size.prompt_tokens + size.output_tokens);
    return taken > surely_free * capacity.kv_tokens;
}

bool is_prompt_kept(base::duration age, const settings::engine_capacity& capacity, int refusals) {
    const double limit = kept_part * base::to_seconds(capacity.kept_prompt);
    return refusals < most_refusals_of_kept && base::to_seconds(age) <= limit;
}

bool is_prompt_lapsing(base::duration age, const settings::engine_capacity& capacity) {
    return base::to_seconds(age) >= lapsing_part * base::to_seconds(capacity.kept_prompt);
}

double memory_for_stream(const settings::engine_capacity& capacity, const prompt_size& size, int events) {
    return size.prompt_tokens + static_cast<double>(events) * capacity.tokens_an_event + memory_lookahead;
}

} // namespace postpaddle::decision
