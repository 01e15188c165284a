// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <decision/instance_choice.h>

#include <optional>

namespace postpaddle::decision {

/// Longest time that a step of a stream is waited for before another engine is asked, from what it was
/// expected to take.
[[nodiscard]] base::duration patience_for_step(base::duration expected);

/// Longest silence of a stream that may go on at another engine, from the route's longest pause.
[[nodiscard]] base::duration patience_for_silence(base::duration gap_target);

/// Whether a refusal may tell of a full engine. One with memory to spare refused for want of the KV cache.
[[nodiscard]] bool may_be_full(const std::optional<instance_load>& load,
                               const settings::engine_capacity& capacity, const prompt_size& size);

/// Whether a prompt that was read `age` ago is still counted on, after so many refusals of its KV cache.
[[nodiscard]] bool is_prompt_kept(base::duration age, const settings::engine_capacity& capacity,
                                  int refusals);

/// Whether a kept prompt will soon lapse: an engine that seems full is then asked all the same.
[[nodiscard]] bool is_prompt_lapsing(base::duration age, const settings::engine_capacity& capacity);

/// Refusals after which the KV cache of a kept prompt is taken to be gone.
inline constexpr int most_refusals_of_kept = 3;

/// Memory to promise to a stream that has put out so many events: what it takes and some tokens ahead.
[[nodiscard]] double memory_for_stream(const settings::engine_capacity& capacity, const prompt_size& size,
                                       int events);

} // namespace postpaddle::decision
