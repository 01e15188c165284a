// SPDX-License-Identifier: BSD-2-Clause
#include <decision/stage_balance.h>

#include <algorithm>
#include <map>

namespace postpaddle::decision {

namespace {

using settings::engine_stage;

/// Fraction of a decode engine's time that prefills may take while prompts queue at prefill engines. Prefill
/// engines in turn cannot substitute for the memory of decode engines.
constexpr double decode_prefill_fraction = 0.15;
/// Minimum factor by which a change must increase the answerable rate.
constexpr double min_gain = 1.1;
/// Minimum engines per stage, so that one remains after a failure.
constexpr int min_engines = 2;
/// Queue time in seconds from which on prompts count as queueing.
constexpr double long_prompt_queue = 0.2;
/// At most one in this many engines of a stage changes at a time.
constexpr int step_divisor = 4;

bool serves_stage(const instance_table& table, const instance& candidate, const std::string& service,
                  engine_stage stage, base::time_point now) {
    // Only local, eligible engines are balanced.
    return candidate.entry.service == service && candidate.entry.stage == stage && !candidate.is_remote &&
           !is_evacuated(table, candidate) && candidate.state == listing::listed &&
           !is_avoided(candidate, now);
}

int bounded_step(int wanted, int engines) { return std::min(wanted, std::max(1, engines / step_divisor)); }

double work_of(const instance& candidate) {
    return pending_prompt_tokens(candidate) + candidate.own.memory_tokens + candidate.others.memory_tokens;
}

} // namespace

double answerable_rate(const stage_statistics& statistics, int prefill_engines) {
    const int decode_engines = statistics.prefill_engines + statistics.decode_engines - prefill_engines;
    const double prefill_capacity =
        prefill_engines + decode_prefill_fraction * decode_engines / decode_prefill_factor;
    const double prefill_rate = prefill_capacity / std::max(0.0001, statistics.prefill_seconds);
    const double decode_rate = decode_engines * std::max(1.0, statistics.slots_per_engine) /
                               std::max(0.001, statistics.hold_seconds);
    return std::min(prefill_rate, decode_rate);
}

int engines_to_decode(const stage_statistics& statistics) {
    const int total = statistics.prefill_engines + statistics.decode_engines;
    if (statistics.prefill_engines < 1 || statistics.decode_engines < 1 || total < 2 * min_engines)
        return 0;
    int best = statistics.prefill_engines;
    for (int prefill = min_engines; prefill <= total - min_engines; ++prefill)
        if (answerable_rate(statistics, prefill) > answerable_rate(statistics, best))
            best = prefill;
    if (answerable_rate(statistics, best) <
        min_gain * answerable_rate(statistics, statistics.prefill_engines))
        return 0;
    if (best < statistics.prefill_engines)
        return bounded_step(statistics.prefill_engines - best, statistics.prefill_engines);
    if (statistics.prompt_queue_seconds < long_prompt_queue)
        return 0;
    return -bounded_step(best - statistics.prefill_engines, statistics.decode_engines);
}

std::optional<base::upstream_id> engine_to_reassign(const instance_table& table, const std::string& service,
                                                    engine_stage stage, base::time_point now) {
    std::map<base::zone_id, int> engines_in;
    for (const auto& [id, candidate] : table.by_id)
        if (serves_stage(table, candidate, service, stage, now))
            ++engines_in[candidate.entry.availability_zone];
    const instance* best = nullptr;
    const auto is_preferred = [&engines_in](const instance& left, const instance& right) {
        const int left_zone = engines_in[left.entry.availability_zone];
        const int right_zone = engines_in[right.entry.availability_zone];
        return left_zone != right_zone ? left_zone > right_zone : work_of(left) < work_of(right);
    };
    for (const auto& [id, candidate] : table.by_id)
        if (serves_stage(table, candidate, service, stage, now) &&
            (best == nullptr || is_preferred(candidate, *best)))
            best = &candidate;
    if (best == nullptr)
        return std::nullopt;
    return best->entry.id;
}

bool is_any_out_of_service(const instance_table& table, const std::string& service, base::time_point now) {
    return std::ranges::any_of(table.by_id, [&](const auto& item) {
        const instance& candidate = item.second;
        const bool is_unavailable =
            is_out_of_service(candidate, now) || candidate.is_out_of_service_elsewhere;
        return candidate.entry.service == service && candidate.state == listing::listed && is_unavailable;
    });
}

void count_stages(stage_statistics& statistics, const instance_table& table, const std::string& service,
                  const engine_speed& speed, base::time_point now) {
    double queued_tokens = 0;
    for (const auto& [id, candidate] : table.by_id) {
        if (serves_stage(table, candidate, service, engine_stage::prefill, now)) {
            ++statistics.prefill_engines;
            queued_tokens += pending_prompt_tokens(candidate);
        }
        statistics.decode_engines +=
            serves_stage(table, candidate, service, engine_stage::decode, now) ? 1 : 0;
    }
    statistics.prompt_queue_seconds =
        seconds_for_tokens(speed, queued_tokens) / std::max(1, statistics.prefill_engines);
}

} // namespace postpaddle::decision
