// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/engine_pace.h>
#include <decision/instance_table.h>
#include <decision/placement.h>
#include <decision/waiting_order.h>

#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>

namespace postpaddle::decision {

/// A decode engine takes this many times as long for a prompt as a prefill engine (the platform's protocol
/// says so).
inline constexpr double decode_read_factor = 2;

/// What a choice of upstreams rests on.
struct choice_context {
    std::string service;
    base::zone_id own_zone;
    std::set<base::upstream_id> excluded;  ///< Already tried for this request.
    std::set<base::upstream_id> holding{}; ///< Engines that hold the request's prompt.
    base::time_point now{};
    std::map<base::upstream_id, double> reserved{}; ///< Memory of engines that requests ahead will take.
    engine_pace pace{};                             ///< Of the service's engines.
    placement_limits limits{};                      ///< Where the request may go at all.
};

/// Size of a prompt and of its answer.
struct prompt_size {
    double prompt_tokens = 0;
    double output_tokens = 0;

    bool operator==(const prompt_size&) const = default;
};

/// Engines of one request.
struct engine_plan {
    std::optional<base::upstream_id> prefill; ///< None: the decode engine reads the prompt itself.
    base::upstream_id decode;
    bool has_room = true;                  ///< Whether the decode engine's memory has a place for it now.
    base::duration expected_read{};        ///< From the send to the prompt's end.
    base::duration expected_first_event{}; ///< From the send to the first event.
    double cost = 0;                       ///< What the choice weighed, in seconds.

    bool operator==(const engine_plan&) const = default;
};

/// The plain upstream that is expected to answer first, or none.
[[nodiscard]] std::optional<base::upstream_id>
choose_plain(const instance_table& table, const choice_context& context, std::mt19937_64& random);

/// The engines that are expected to give the first event first, moves between zones counted as cost.
///
/// Both are chosen together: reading at a prefill engine and moving the KV cache is weighed against reading
/// at the decode engine, which is slower and holds up what that engine is answering.
[[nodiscard]] std::optional<engine_plan> choose_engines(const instance_table& table,
                                                        const choice_context& context,
                                                        const settings::engine_capacity& capacity,
                                                        const prompt_size& size, std::mt19937_64& random);

/// A decode engine for a prompt that an engine of `source_zone` keeps, or none.
[[nodiscard]] std::optional<engine_plan>
choose_decode(const instance_table& table, const choice_context& context,
              const settings::engine_capacity& capacity, const prompt_size& size,
              const base::zone_id& source_zone, std::mt19937_64& random);

/// A decode engine that reads the prompt itself, for a stream that goes on elsewhere.
[[nodiscard]] std::optional<engine_plan> choose_reader(const instance_table& table,
                                                       const choice_context& context,
                                                       const settings::engine_capacity& capacity,
                                                       const prompt_size& size, std::mt19937_64& random);

/// When the next request may go to an upstream that answers it, where none is open now.
struct service_opening {
    base::time_point first{};
    base::duration spacing{}; ///< Between further ones.

    bool operator==(const service_opening&) const = default;
};

/// The next opening of the context's service; none where time alone does not open any of its upstreams.
[[nodiscard]] std::optional<service_opening> next_opening(const instance_table& table,
                                                          const choice_context& context);

/// Tokens of an engine's memory that may still be promised, by what all hosts tell and by refusals.
[[nodiscard]] double memory_left(const instance& candidate, const settings::engine_capacity& capacity,
                                 base::time_point now);

/// Memory that requests which go before will take, by engine, in their order: each at the engine that has the
/// most left. One that finds no room holds that engine back, so that a large request gets its place in the
/// end although smaller ones would fit before.
[[nodiscard]] std::map<base::upstream_id, double> reserve_memory(const instance_table& table,
                                                                 const choice_context& context,
                                                                 const settings::engine_capacity& capacity,
                                                                 std::span<const waiter> ahead);

/// Places for requests of that size that all decode engines of the service have, and those that are free.
struct engine_places {
    double total = 0;
    double free = 0;
};
[[nodiscard]] engine_places count_places(const instance_table& table, const choice_context& context,
                                         const settings::engine_capacity& capacity, const prompt_size& size);

/// Prompt tokens that an engine was sent, by whichever host, and has not read yet.
[[nodiscard]] double prompt_tokens_out(const instance& candidate);

/// A prompt that a prefill engine has read.
struct prompt_read {
    double prompt_tokens = 0;
    double tokens_before = 0; ///< Sent to the engine and not read when it was sent.
    base::duration taken{};

    bool operator==(const prompt_read&) const = default;
};

/// Learns from a prompt that was read.
void note_read(instance& target, engine_pace& pace, const prompt_read& read, base::time_point now);

/// Learns from a plain answer what it takes at the upstream's usual pace.
void note_answer_time(instance& target, base::duration taken, base::time_point now);

} // namespace postpaddle::decision
