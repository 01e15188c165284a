// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/choice_context.h>
#include <decision/instance_table.h>
#include <decision/wait_queue.h>
#include <settings/routing_settings.h>

#include <map>
#include <span>

namespace postpaddle::decision {

/// Tokens of engine memory that are not yet reserved, according to the reports of all hosts and to refusals.
[[nodiscard]] double available_memory(const instance& candidate, const settings::engine_capacity& capacity,
                                      base::time_point now);

/// The same without the memory that the context reserves for requests ahead in the queue.
[[nodiscard]] double unreserved_memory(const instance& candidate, const choice_context& context,
                                       const settings::engine_capacity& capacity);

/// Whether a decode engine has a free slot and enough memory for the request.
[[nodiscard]] bool has_room(const instance& candidate, const choice_context& context,
                            const settings::engine_capacity& capacity, const prompt_size& size);

/// Memory by engine that requests ahead in the queue will take. In queue order, each is assigned to the
/// engine with the most available memory. It is reserved there even where it does not fit yet, so that
/// smaller requests can't starve a large one.
[[nodiscard]] std::map<base::upstream_id, double> reserve_memory(const instance_table& table,
                                                                 const choice_context& context,
                                                                 const settings::engine_capacity& capacity,
                                                                 std::span<const waiter> ahead);

/// Slots for requests of a given size at all decode engines of the service. `total` and `free` are weighted
/// by the engines' speed, for expected waits.
struct decode_slots {
    double total = 0;        ///< A slot at an engine that takes twice as long counts half.
    double free = 0;         ///< The same, but none counts more than one, as it takes one request now.
    double free_now = 0;     ///< Number of free slots: of the requests that can start now.
    double total_memory = 0; ///< Tokens of all eligible engines, whatever the request's size.
    double free_memory = 0;  ///< Tokens of these that are available.
};
[[nodiscard]] decode_slots count_decode_slots(const instance_table& table, const choice_context& context,
                                              const settings::engine_capacity& capacity,
                                              const prompt_size& size);

} // namespace postpaddle::decision
