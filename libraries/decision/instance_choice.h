// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/choice_context.h>
#include <decision/engine_room.h>
#include <decision/engine_speed.h>
#include <decision/instance_table.h>
#include <decision/plain_choice.h>
#include <decision/send_slots.h>

#include <optional>
#include <random>

namespace postpaddle::decision {

/// Time of a prefill at a decode engine relative to a prefill engine, as defined by the platform's protocol.
inline constexpr double decode_prefill_factor = 2;

/// Engines chosen for a request.
struct engine_plan {
    std::optional<base::upstream_id> prefill; ///< None: the decode engine prefills the prompt itself.
    base::upstream_id decode;
    bool has_room = true;              ///< Whether the decode engine has a free slot and enough memory now.
    base::duration expected_prefill{}; ///< From sending to the end of the prefill.
    base::duration expected_first_event{}; ///< From sending to the first event.
    double cost = 0;                       ///< In seconds of expected delay.

    bool operator==(const engine_plan&) const = default;
};

/// The engines with the lowest expected time to the first event, including the cost of transfers between
/// zones.
///
/// Compares separate prefill and decode engines with a prefill at the decode engine, which avoids the KV
/// cache transfer but is slower and delays the streams there. Both engines have the same software version
/// where there is such a pair.
[[nodiscard]] std::optional<engine_plan> choose_engines(const instance_table& table,
                                                        const choice_context& context,
                                                        const settings::engine_capacity& capacity,
                                                        const prompt_size& size, std::mt19937_64& random);

/// A decode engine for a prompt whose KV cache is retained by an engine in `source_zone`.
[[nodiscard]] std::optional<engine_plan>
choose_decode(const instance_table& table, const choice_context& context,
              const settings::engine_capacity& capacity, const prompt_size& size,
              const base::zone_id& source_zone, std::mt19937_64& random);

/// A decode engine that prefills the prompt itself, for example to resume a stream.
[[nodiscard]] std::optional<engine_plan> choose_colocated(const instance_table& table,
                                                          const choice_context& context,
                                                          const settings::engine_capacity& capacity,
                                                          const prompt_size& size, std::mt19937_64& random);

/// Prompt tokens sent to an engine by all hosts and not prefilled yet.
[[nodiscard]] double pending_prompt_tokens(const instance& candidate);

/// A completed prefill at a prefill engine.
struct prefill_sample {
    double prompt_tokens = 0;
    double tokens_ahead = 0; ///< Tokens sent to the engine and not prefilled when this prompt was sent.
    base::duration taken{};

    bool operator==(const prefill_sample&) const = default;
};

/// Updates the engine's slowness and queue time, and, for a prompt that did not queue, the service's engine
/// speed.
void record_prefill(instance& target, engine_speed& speed, const prefill_sample& sample,
                    base::time_point now);

} // namespace postpaddle::decision
