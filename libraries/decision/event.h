// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>
#include <decision/load_report.h>
#include <decision/request_facts.h>
#include <decision/topology.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace postpaddle::decision {

/// Phase of a request.
enum class phase { queued, prefilling, retained, transferring, decoding, ended };

/// Why a phase failed.
enum class failure {
    refused,   ///< The engine rejected the request before starting it.
    broken,    ///< Connection lost or response truncated.
    late,      ///< Phase timed out.
    malformed, ///< Response unparsable or for a different request.
    lost_kv,   ///< The engine no longer has the KV cache of the prompt.
};

/// A caller's request is ready to be routed.
struct request_arrived {
    request_facts facts;
};

/// The prefill engine finished; it retains the KV cache from now on.
struct prefill_ended {
    base::request_id id;
    int attempt = 0;
    int prompt_tokens = 0; ///< As counted by the engine.
    int cached_tokens = 0; ///< Prompt tokens found in the engine's prefix cache.
};

/// The decode engine produced its first token, so the KV transfer is complete.
struct first_token_seen {
    base::request_id id;
    int attempt = 0;
};

/// The decode engine's response is complete.
struct decode_ended {
    base::request_id id;
    int attempt = 0;
    int tokens = 0;
};

/// A phase of an attempt failed.
struct phase_failed {
    base::request_id id;
    int attempt = 0;
    failure reason = failure::broken;
    int tokens_relayed = 0;         ///< Tokens already sent to the caller.
    bool has_engine_exited = false; ///< Nothing listens at the engine's address: its process has exited.
};

/// The caller disconnected or cancelled.
struct caller_disconnected {
    base::request_id id;
};

/// An engine confirmed that it freed an attempt's resources, or their lifetime expired.
struct hold_released {
    base::request_id id;
    int attempt = 0;
    base::upstream_id upstream;
};

/// Load report of an engine, received directly or through the host that owns the upstream.
struct load_report_received {
    base::upstream_id upstream;
    load_report report;
    base::duration age{}; ///< Age of the report when it was received.
};

/// Fraction of an upstream's capacity that this host may use, granted by the host that owns the upstream.
struct share_granted {
    base::upstream_id upstream;
    double share = 1; ///< 0 to 1, applies to decode slots and prefill throughput.
};

/// An upstream started or stopped leaving.
struct leaving_changed {
    base::upstream_id upstream;
    bool is_leaving = false;
};

/// An engine evicted prefixes from its cache.
struct prefixes_evicted {
    base::upstream_id upstream;
    std::vector<std::uint64_t> prefix_hashes;
};

/// New settings took effect.
struct topology_changed {
    topology next;
};

/// Periodic timer.
struct tick {};

using event = std::variant<request_arrived, prefill_ended, first_token_seen, decode_ended, phase_failed,
                           caller_disconnected, hold_released, load_report_received, share_granted,
                           leaving_changed, prefixes_evicted, topology_changed, tick>;

} // namespace postpaddle::decision
