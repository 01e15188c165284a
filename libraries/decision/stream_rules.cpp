// SPDX-License-Identifier: BSD-2-Clause
#include <decision/stream_rules.h>

namespace postpaddle::decision {

namespace {

using namespace std::chrono_literals;

/// A step times out after this multiple of its expected duration, plus the grace period.
constexpr double late_factor = 3;
constexpr base::duration late_grace = 400ms;
/// Multiple of the route's gap target after which a silent stream is resumed elsewhere.
constexpr int silence_factor = 4;
/// Fraction of the retention period for which a retained prompt is relied on.
constexpr double retained_fraction = 0.8;
/// Fraction of the retention period from which on a retained prompt is about to expire.
constexpr double expiring_fraction = 0.5;
/// Output tokens for which memory is reserved ahead of a stream's progress.
constexpr double memory_lookahead = 150;
/// An engine that uses less than this fraction of its memory is certain to have room.
constexpr double certain_free_fraction = 0.5;

} // namespace

base::duration step_timeout(base::duration expected) {
    return base::scaled(expected, late_factor) + late_grace;
}

base::duration idle_timeout(base::duration gap_target) { return gap_target * silence_factor; }

bool may_be_full(const std::optional<instance_load>& load, const settings::engine_capacity& capacity,
                 const prompt_size& size) {
    if (!load || load->waiting > 0)
        return true;
    const double used = load->running * (size.prompt_tokens + size.output_tokens);
    return used > certain_free_fraction * capacity.kv_tokens;
}

bool is_prompt_retained(base::duration age, const settings::engine_capacity& capacity, int refusals) {
    const double limit = retained_fraction * base::to_seconds(capacity.kv_retention);
    return refusals < max_refusals_of_retained && base::to_seconds(age) <= limit;
}

bool is_prompt_expiring(base::duration age, const settings::engine_capacity& capacity) {
    return base::to_seconds(age) >= expiring_fraction * base::to_seconds(capacity.kv_retention);
}

double memory_for_stream(const settings::engine_capacity& capacity, const prompt_size& size, int events) {
    return size.prompt_tokens + static_cast<double>(events) * capacity.tokens_per_event + memory_lookahead;
}

} // namespace postpaddle::decision
