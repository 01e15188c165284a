// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/identifier.h>
#include <decision/instance_choice.h>
#include <settings/routing_settings.h>

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>

namespace postpaddle::decision {

/// Services whose requests differ in priority: by their routes, or all of them if organisations differ.
[[nodiscard]] std::set<std::string> services_with_priorities(const settings::routing_settings& settings);

/// Whether an engine of the service is treated as faster or slower than the others.
[[nodiscard]] bool has_pace_in_use(const instance_table& table, const std::string& service);

/// Position of a host among those that have reserved too much of an engine together. Every host computes the
/// same order; it differs from engine to engine, so that no host always comes last.
[[nodiscard]] std::uint64_t reservation_order(const base::host_id& host, const base::upstream_id& engine);

/// What another host reserved at an engine while a prompt was processed.
struct concurrent_reservation {
    std::uint64_t order = 0;
    instance_use added;

    bool operator==(const concurrent_reservation&) const = default;
};

/// The work in `now` that was not in `before`. None if only the memory has grown: streams that were running
/// already take more of it over time.
[[nodiscard]] instance_use added_use(const instance_use& before, const instance_use& now);

/// A request's reservation at a decode engine, and all other work there.
struct reservation_facts {
    std::uint64_t order = 0; ///< Of this host.
    instance_use reserved{}; ///< The request's own reservation.
    instance_use own{};      ///< All work of this host, including `reserved`.
    instance_use others{};   ///< All work of the other hosts, including `concurrent`.
    double unreported_tokens = 0;
    std::span<const concurrent_reservation> concurrent{}; ///< In any order.
};

/// Whether a request has to leave the decode engine that was chosen before its prefill, since the engine is
/// overcommitted.
///
/// Work that was known at the choice stays. Reservations that hosts have made since without knowing of each
/// other stay as far as they fit, in the order of `reservation_order`, so that only the rest moves. This
/// host's other reservations count before this one: they are rechecked one after another, each with the
/// result of the one before.
[[nodiscard]] bool is_displaced(const reservation_facts& facts, const settings::engine_capacity& capacity);

/// A decode engine other than `current` with free capacity now for a prompt retained in `source_zone`, if
/// there is one.
[[nodiscard]] std::optional<engine_plan>
choose_free_decode(const instance_table& table, choice_context context,
                   const settings::engine_capacity& capacity, const prompt_size& size,
                   const base::upstream_id& current, const base::zone_id& source_zone,
                   std::mt19937_64& random);

/// What became of a request's reservation after its prefill.
enum class recheck_verdict {
    kept,         ///< The engine has capacity for it.
    moved,        ///< It is now at another engine.
    none_is_free, ///< The engine is overcommitted, and so are all others.
};

[[nodiscard]] const char* to_text(recheck_verdict verdict);

} // namespace postpaddle::decision
