// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace postpaddle::stand_in {

/// What a stand-in engine can do.
struct engine_options {
    std::string name = "engine";
    std::uint64_t seed = 1;
    double prompt_rate = 20'000;                      ///< Prompt tokens a second.
    std::chrono::microseconds prompt_overhead{3'000}; ///< Added to each prefill.
    int places = 32;                                  ///< Requests decoded at once.
    std::chrono::microseconds step{20'000};           ///< Between tokens with one request.
    std::chrono::microseconds step_each{100};         ///< More for each further request.
    std::chrono::milliseconds kept{3'000};            ///< A prefill result is kept this long.
    double link_rate = 4e9;                           ///< KV bytes sent a second.
    double kv_bytes_per_token = 131'072;
    std::chrono::milliseconds load_lag{250}; ///< Age of the load it reports.
    std::size_t cache_blocks = 8192;
    bool checks_orders = true;
};

/// Faults that the control endpoint sets. Counts are of coming answers.
struct engine_faults {
    int refuse = 0;           ///< Answer 503 before starting.
    int garbage = 0;          ///< Answer something unreadable.
    int crossed = 0;          ///< Answer with another request's id.
    int flood = 0;            ///< Send far more tokens than asked for.
    int cut = 0;              ///< Cut the stream after a few tokens.
    int late_ms = 0;          ///< Hold each answer's start back this long.
    int stall_transfer = 0;   ///< Transfers that never end.
    int stall_tokens = 0;     ///< Streams that stop making tokens.
    std::string fatal_prompt; ///< The process ends as it begins to decode this prompt.
};

/// What the engine has counted.
struct engine_counters {
    std::uint64_t prefill_tokens = 0;        ///< Computed.
    std::uint64_t wasted_prefill_tokens = 0; ///< Computed and thrown away.
    std::uint64_t prefills = 0;
    std::uint64_t decodes = 0;
    std::uint64_t completed = 0;
    std::uint64_t tokens = 0;
    std::uint64_t aborted = 0;
    std::uint64_t transfers = 0;
    std::uint64_t lost_kv = 0;
    std::uint64_t old_orders = 0; ///< Orders refused for an old token.
};

} // namespace postpaddle::stand_in
