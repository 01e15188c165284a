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

/// Which part of a request an engine was doing.
enum class phase { queued, prefilling, kept, transferring, decoding, ended };

/// Why an engine's part failed.
enum class failure {
    refused,   ///< The engine said no before it began.
    broken,    ///< Connection lost or answer cut.
    late,      ///< No word within the phase's limit.
    malformed, ///< Answer unreadable or another request's.
    lost_kv,   ///< The engine no longer has the prefill result.
};

/// A caller's request passed the earlier filters.
struct request_arrived {
    request_facts facts;
};

/// The prefill engine answered; its result is kept from now on.
struct prefill_ended {
    base::request_id id;
    int attempt = 0;
    int prompt_tokens = 0; ///< As the engine counted.
    int cached_tokens = 0; ///< Part of the prompt the engine had in its prefix cache.
};

/// First token of the decode engine: the transfer is over.
struct first_token_seen {
    base::request_id id;
    int attempt = 0;
};

/// The decode engine's answer is whole.
struct decode_ended {
    base::request_id id;
    int attempt = 0;
    int tokens = 0;
};

/// An engine's part failed.
struct phase_failed {
    base::request_id id;
    int attempt = 0;
    failure reason = failure::broken;
    int tokens_relayed = 0;        ///< Tokens the caller already has.
    bool has_engine_ended = false; ///< Nothing listens at its address: its process has gone.
};

/// The caller closed its connection or cancelled.
struct caller_gone {
    base::request_id id;
};

/// An engine confirmed that it holds nothing of an attempt, or its time limit has passed.
struct hold_released {
    base::request_id id;
    int attempt = 0;
    base::upstream_id upstream;
};

/// An engine's load, heard directly or through the upstream's home host.
struct load_heard {
    base::upstream_id upstream;
    load_report report;
    base::duration age{}; ///< How old the report was when heard.
};

/// The part of an upstream that this host may use, from its home host.
struct share_granted {
    base::upstream_id upstream;
    double share = 1; ///< 0 to 1 of places and of prompt rate.
};

/// An upstream is leaving, or has come back.
struct leaving_changed {
    base::upstream_id upstream;
    bool is_leaving = false;
};

/// Late word from an engine's cache: these prefixes are gone.
struct prefixes_evicted {
    base::upstream_id upstream;
    std::vector<std::uint64_t> prefix_hashes;
};

/// New settings are in force.
struct topology_changed {
    topology next;
};

/// Time has passed.
struct tick {};

using event = std::variant<request_arrived, prefill_ended, first_token_seen, decode_ended, phase_failed,
                           caller_gone, hold_released, load_heard, share_granted, leaving_changed,
                           prefixes_evicted, topology_changed, tick>;

} // namespace postpaddle::decision
