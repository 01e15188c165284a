// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/instance_choice.h>

namespace postpaddle::decision {

/// What the balance between a service's prefill and decode engines rests on.
struct stage_facts {
    int prefill_engines = 0;
    int decode_engines = 0;
    double read_seconds = 0.01;      ///< That a prefill engine takes for a request's prompt, on the mean.
    double hold_seconds = 1;         ///< How long a request keeps its place at a decode engine, on the mean.
    double places_an_engine = 1;     ///< Requests of mean size that a decode engine's memory holds.
    double prompt_queue_seconds = 0; ///< Prompts sent to a prefill engine and not read yet, on the mean.

    bool operator==(const stage_facts&) const = default;
};

/// Requests a second that the service can answer with so many prefill engines, the rest being decode engines.
///
/// Only part of the prefill engines' pace counts: prompts that queue there hold back memory at decode
/// engines.
[[nodiscard]] double answerable_rate(const stage_facts& facts, int prefill_engines);

/// Engines to move from prefill to decode: as many as the best balance asks, within a bound for each step;
/// below zero for the other way, and 0 where a change would not pay for the time that it takes.
///
/// To prefill only while prompts queue there: with little work, places are kept for so short a time that
/// decode engines seem too many, and the next burst would find too few.
[[nodiscard]] int engines_to_decode(const stage_facts& facts);

/// The engine of a stage that is the easiest to spare: of the availability zone with the most of that stage,
/// the one with the least work. None where no engine is fit.
[[nodiscard]] std::optional<base::upstream_id> engine_to_spare(const instance_table& table,
                                                               const std::string& service,
                                                               settings::engine_stage stage,
                                                               base::time_point now);

/// Whether an engine of the service changes its stage or has lately crashed: what it will do next is not
/// known.
[[nodiscard]] bool is_any_out_of_service(const instance_table& table, const std::string& service,
                                         base::time_point now);

/// Counts a service's engines by stage, and the prompts that queue; those that are avoided serve nobody and
/// don't count.
void count_stages(stage_facts& facts, const instance_table& table, const std::string& service,
                  const engine_pace& pace, base::time_point now);

} // namespace postpaddle::decision
