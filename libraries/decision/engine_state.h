// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <decision/estimate.h>
#include <decision/load_report.h>
#include <decision/topology.h>

#include <array>
#include <vector>

namespace postpaddle::decision {

/// Index of an engine in `router_state::engines`.
using engine_index = int;
inline constexpr engine_index no_engine_index = -1;

/// Consecutive failures of an engine and its ejection because of them.
struct engine_health {
    int failures = 0;
    base::time_point ejected_until{};
    bool is_probing = false; ///< A probe request is in progress after an ejection.

    bool operator==(const engine_health&) const = default;
};

/// Whether an organisation currently demands more than its fair share. Engines prioritize requests within the
/// share, so that a flood from one organisation doesn't delay the others.
enum class service_class { within_share, beyond_share };

/// Queueing delay that this host's prompts observed at an engine.
struct observed_wait {
    double seconds = 0;
    base::time_point at{};
};

/// This host's view of an engine: its own work in progress, and other hosts' work as reported.
struct engine_state {
    engine_facts facts;
    bool is_present = true; ///< False once removed from the settings.
    bool is_leaving = false;
    engine_health health;
    double share = 1;      ///< Fraction of the engine's capacity that this host may use.
    double rounding = 0.5; ///< Random offset from 0 to 1 added before rounding this host's slots down.
    estimate prompt_rate;
    estimate token_seconds;
    // Prefill.
    std::array<double, 2> own_prompt_tokens{}; ///< Outstanding tokens sent by this host, by service class.
    std::array<observed_wait, 2> waits;        ///< By service class.
    // Decode.
    std::vector<base::time_point> expected_ends; ///< Expected end of each slot reserved by this host, sorted.
    int waiting_beyond_share =
        0; ///< Reservations beyond their organisation's share that are not decoding yet.
    // Load report.
    load_report report;
    base::time_point reported_at{};
    bool has_report = false;
    int other_hosts_decodes = 0; ///< Reported decodes minus this host's reservations when the report arrived.
};

/// Creates the state of a new engine, with estimates initialized from the settings.
[[nodiscard]] engine_state make_engine(const engine_facts& facts);

/// Whether the settings, the platform or the engine itself reports that the engine is leaving.
[[nodiscard]] bool is_leaving_or_draining(const engine_state& engine);

/// Whether the engine may receive new work.
[[nodiscard]] bool is_usable(const engine_state& engine, base::time_point now);

/// Expected start of a prompt sent now, based on this host's outstanding work and on the queueing delay that
/// its last prompts of that class observed.
[[nodiscard]] base::time_point prefill_begin(const engine_state& engine, service_class kind,
                                             base::time_point now);

/// Seconds of outstanding prompt work of this host, of that class and those served before it.
[[nodiscard]] double outstanding_prompt_seconds(const engine_state& engine, service_class kind);

/// Whether this host's outstanding prompt work fills its window at the engine. One prompt may always be sent.
///
/// The window keeps the engine's queue short without communication between hosts: their total outstanding
/// work is bounded however stale their views are. Work beyond an organisation's share doesn't count against
/// work within it.
[[nodiscard]] bool is_window_full(const engine_state& engine, service_class kind);

/// Updates the observed queueing delay from a prompt that took `taken` in total and had `tokens` uncached
/// tokens.
void record_prefill(engine_state& engine, service_class kind, double tokens, base::duration taken,
                    base::time_point now);

/// Number of decode slots that this host may use at the engine, at least one.
[[nodiscard]] int own_slots(const engine_state& engine);

/// Expected time at which this host's next slot is free; `now` if one is. Engines serve work within the
/// organisation's share first, so it doesn't wait for work beyond.
[[nodiscard]] base::time_point next_free_slot(const engine_state& engine, service_class kind,
                                              base::time_point now);

/// Number of slots that this host has reserved.
[[nodiscard]] int reserved_slots(const engine_state& engine);

/// Reserves a slot that is expected to be free again at `end`.
void reserve_slot(engine_state& engine, base::time_point end);

/// Releases the reservation that was expected to end at `end`.
void release_slot(engine_state& engine, base::time_point end);

/// Changes the expected end of a reservation.
void move_reservation(engine_state& engine, base::time_point old_end, base::time_point new_end);

/// Stores a load report that was `age` old when received, unless a newer one is known: one that came over
/// another host must not take back that the engine drains.
void apply_load_report(engine_state& engine, const load_report& report, base::duration age,
                       base::time_point now);

/// Counts a failure. Consecutive failures eject the engine, with exponential back-off.
void record_failure(engine_state& engine, base::time_point now);

/// Ejects the engine immediately because its process has exited.
void record_process_exit(engine_state& engine, base::time_point now);

/// Resets the failure count.
void record_success(engine_state& engine);

} // namespace postpaddle::decision
