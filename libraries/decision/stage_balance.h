// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/instance_choice.h>

namespace postpaddle::decision {

/// Inputs to the balance between a service's prefill and decode engines.
struct stage_statistics {
    int prefill_engines = 0;
    int decode_engines = 0;
    double prefill_seconds = 0.01;   ///< Mean prefill time of a prompt.
    double hold_seconds = 1;         ///< Mean time that a request occupies its slot at a decode engine.
    double slots_per_engine = 1;     ///< Requests of mean size that fit in a decode engine's memory.
    double prompt_queue_seconds = 0; ///< Mean queue time at a prefill engine.

    bool operator==(const stage_statistics&) const = default;
};

/// Requests per second that the service can answer with that many prefill engines and the rest as decode
/// engines.
[[nodiscard]] double answerable_rate(const stage_statistics& statistics, int prefill_engines);

/// Number of engines to move from prefill to decode, bounded per step; negative for the other direction, 0 if
/// the gain is too small.
///
/// Moves engines to prefill only while prompts queue: under low load, slots are occupied so briefly that
/// decode engines seem too many, and the next burst would lack them.
[[nodiscard]] int engines_to_decode(const stage_statistics& statistics);

/// The engine of a stage to reassign: the one with the least work in the availability zone with the most
/// engines of that stage. None if no engine is eligible.
[[nodiscard]] std::optional<base::upstream_id> engine_to_reassign(const instance_table& table,
                                                                  const std::string& service,
                                                                  settings::engine_stage stage,
                                                                  base::time_point now);

/// Whether any listed engine of the service is out of service, because its stage changes or it crashed
/// recently.
[[nodiscard]] bool is_any_out_of_service(const instance_table& table, const std::string& service,
                                         base::time_point now);

/// Counts a service's engines by stage and computes the prompt queue time. Avoided engines do not count.
void count_stages(stage_statistics& statistics, const instance_table& table, const std::string& service,
                  const engine_speed& speed, base::time_point now);

} // namespace postpaddle::decision
