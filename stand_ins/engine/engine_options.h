// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace postpaddle::stand_in {

/// Configuration of a stand-in engine.
struct engine_options {
    std::string name = "engine";
    std::uint64_t seed = 1;
    double prefill_tokens_per_second = 20'000;
    std::chrono::microseconds prefill_overhead{3'000};        ///< Fixed cost of each prefill.
    int decode_slots = 32;                                    ///< Requests decoded concurrently.
    std::chrono::microseconds step_duration{20'000};          ///< Token latency with one active request.
    std::chrono::microseconds step_duration_per_request{100}; ///< Added per additional active request.
    std::chrono::milliseconds prefill_retention{3'000}; ///< Time until an unfetched prefill result expires.
    double link_bytes_per_second = 4e9;                 ///< Shared by all KV cache transfers.
    double kv_bytes_per_token = 131'072;
    std::chrono::milliseconds load_report_delay{250}; ///< Age of the reported load.
    std::size_t prefix_cache_blocks = 8192;
    bool rejects_stale_orders = true; ///< Checks the fencing token of orders.
};

/// Faults injected through `/control`. A count is the number of requests still to be affected.
struct engine_faults {
    int rejected_requests = 0;   ///< Answered with status 503 (`refuse`).
    int malformed_responses = 0; ///< Invalid JSON (`garbage`).
    int mismatched_ids = 0;      ///< Response with another request's id (`crossed`).
    int oversized_streams = 0;   ///< Far more tokens than `max_tokens` (`flood`).
    int interrupted_streams = 0; ///< Connection closed after a few tokens (`cut`).
    int response_delay_ms = 0;   ///< Before each response (`late_ms`); not a count.
    int stalled_transfers = 0;   ///< KV cache transfers that never complete (`stall_transfer`).
    int stalled_streams = 0;     ///< Streams that send no tokens (`stall_tokens`).
    std::string fatal_prompt;    ///< The process exits when it starts to decode this prompt.
};

/// Totals since the process started, reported by `/counters`.
struct engine_counters {
    std::uint64_t prefill_tokens = 0;        ///< Computed, without those found in the prefix cache.
    std::uint64_t wasted_prefill_tokens = 0; ///< Computed, then discarded without a transfer.
    std::uint64_t prefills = 0;
    std::uint64_t decodes = 0;
    std::uint64_t completed = 0;
    std::uint64_t tokens = 0;
    std::uint64_t aborted = 0;
    std::uint64_t transfers = 0;
    std::uint64_t failed_transfers = 0; ///< KV cache fetches that failed.
    std::uint64_t stale_orders = 0;     ///< Orders rejected because of an older fencing token.
};

} // namespace postpaddle::stand_in
