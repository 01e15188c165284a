// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <decision/estimate.h>
#include <decision/load_report.h>
#include <decision/topology.h>

#include <array>
#include <vector>

namespace postpaddle::decision {

/// Position of an engine in the router's table.
using engine_index = int;
/// Stands for "no engine".
inline constexpr engine_index no_engine_index = -1;

/// Consecutive failures of an engine and until when it is put aside for them.
struct engine_health {
    int failures = 0;
    base::time_point aside_until{};
    bool is_on_trial = false; ///< One request is out to see whether it is well again.

    bool operator==(const engine_health&) const = default;
};

/// Whether an organisation asks for more than its fair share at this moment. Engines take the prompts and
/// streams of those who do not first, so a flood waits behind everybody else's ordinary work.
enum class service_class { within_share, beyond_share };

/// What this host's own prompts saw of an engine's queue.
struct observed_wait {
    double seconds = 0;
    base::time_point at{};
};

/// One engine as this host sees it: its own work in progress, counted at once, and others' from reports.
struct engine_state {
    engine_facts facts;
    bool is_present = true; ///< False once the settings no longer name it.
    bool is_leaving = false;
    engine_health health;
    double share = 1;      ///< Part of the engine that this host may promise.
    double rounding = 0.5; ///< 0 to 1: from which fraction on a part of a place counts as one.
    estimate prompt_rate;
    estimate token_seconds;
    // As a prefill engine.
    std::array<double, 2> own_prompt_tokens{}; ///< Sent by this host and not yet answered, by service class.
    std::array<observed_wait, 2> waits;        ///< By service class.
    // As a decode engine: the expected end of each place this host has promised, earliest first.
    std::vector<base::time_point> expected_ends;
    int waiting_beyond = 0; ///< Of these, promised beyond an organisation's share and not yet decoding.
    // Last report and what this host itself had there when the report was made.
    load_report report;
    base::time_point reported_at{};
    bool has_report = false;
    int others_decodes = 0;
};

/// A fresh engine at the settings' figures.
[[nodiscard]] engine_state make_engine(const engine_facts& facts);

/// Whether anybody has said that the engine is leaving: the settings, the platform or the engine itself.
[[nodiscard]] bool is_going(const engine_state& engine);

/// Whether new work may go there now.
[[nodiscard]] bool is_usable(const engine_state& engine, base::time_point now);

/// When a prompt sent now would begin, counting own work at once and others' by what this host's own
/// prompts of that class saw of them last.
[[nodiscard]] base::time_point prefill_begin(const engine_state& engine, service_class kind,
                                             base::time_point now);

/// Seconds of prompt work that this host has out at the engine, of that class and those before it.
[[nodiscard]] double prompt_seconds_out(const engine_state& engine, service_class kind);

/// Whether this host has as much prompt work out at the engine as it should; one prompt may always go.
///
/// The window keeps the engine's queue short without a message: each host's next prompt goes when one of
/// its own has ended, so the sum over hosts is bounded however stale their views are. Work beyond its
/// organisation's share never closes the window for work within.
[[nodiscard]] bool is_window_full(const engine_state& engine, service_class kind);

/// Learns from a prompt that took `taken` from sending to answer and whose own part was `tokens`.
void note_prefill(engine_state& engine, service_class kind, double tokens, base::duration taken,
                  base::time_point now);

/// How many places this host may hold there, at least one.
[[nodiscard]] int own_places(const engine_state& engine);

/// When the next place of this host is expected to be free; `now` where one is. The engine gives places to
/// work within its organisation's share first, so that does not wait for what is beyond.
[[nodiscard]] base::time_point next_place(const engine_state& engine, service_class kind,
                                          base::time_point now);

/// Own places promised now.
[[nodiscard]] int promised_places(const engine_state& engine);

/// Adds a promised place that is expected to be free again at `end`.
void promise_place(engine_state& engine, base::time_point end);

/// Takes back the promise that was expected to end at `end`.
void return_place(engine_state& engine, base::time_point end);

/// Moves a promise from one expected end to another.
void move_place(engine_state& engine, base::time_point old_end, base::time_point new_end);

/// Takes a load report that was `age` old when heard.
void hear_load(engine_state& engine, const load_report& report, base::duration age, base::time_point now);

/// Counts a failure; several in a row put the engine aside, longer each time.
void note_failure(engine_state& engine, base::time_point now);

/// Its process has gone: it is put aside at once, as after as many failures as are tolerated.
void note_ended(engine_state& engine, base::time_point now);

/// Counts a success: the engine is well.
void note_success(engine_state& engine);

} // namespace postpaddle::decision
