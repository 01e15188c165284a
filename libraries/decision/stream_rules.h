// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <decision/instance_choice.h>

#include <optional>

namespace postpaddle::decision {

/// Timeout of a step of a stream before another engine is tried.
[[nodiscard]] base::duration step_timeout(base::duration expected);

/// Idle timeout of a stream that can be resumed at another engine.
[[nodiscard]] base::duration idle_timeout(base::duration gap_target);

/// Whether a refusal may mean that the engine is full; otherwise it refused because the KV cache was missing.
[[nodiscard]] bool may_be_full(const std::optional<instance_load>& load,
                               const settings::engine_capacity& capacity, const prompt_size& size);

/// Whether to rely on a prompt that was prefilled `age` ago, after that many refusals of its KV cache.
[[nodiscard]] bool is_prompt_retained(base::duration age, const settings::engine_capacity& capacity,
                                      int refusals);

/// Whether a retained prompt is about to expire, in which case even an engine that seems full is tried.
[[nodiscard]] bool is_prompt_expiring(base::duration age, const settings::engine_capacity& capacity);

/// Refusals after which a retained KV cache is considered lost.
inline constexpr int max_refusals_of_retained = 3;

/// Memory to reserve for a stream after `events` events: its tokens so far plus a lookahead.
[[nodiscard]] double memory_for_stream(const settings::engine_capacity& capacity, const prompt_size& size,
                                       int events);

} // namespace postpaddle::decision
