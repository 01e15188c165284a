// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>

#include <variant>
#include <vector>

namespace postpaddle::decision {

/// Why a request ended without a complete response.
enum class refusal {
    no_deployment,      ///< The deployment has no usable pools.
    no_engine,          ///< Every engine of a pool is gone or ejected.
    cannot_meet_target, ///< The first token would miss its latency target.
    queue_full,         ///< The queue reached its maximum length.
    upstream_failed,    ///< An engine failed and a retry is not allowed or can't meet the target.
};

/// Send the prompt to a prefill engine. A decode slot is already reserved.
struct start_prefill {
    base::request_id id;
    int attempt = 0;
    base::upstream_id prefill;
    base::upstream_id decode; ///< Empty if a baseline policy selects it after the prefill.
    int engine_priority = 0;  ///< Scheduling priority at the engine; lower is served first.
    base::duration limit{};   ///< Timeout after which the phase fails as `late`.

    bool operator==(const start_prefill&) const = default;
};

/// Start decoding from the retained KV cache at a decode engine.
struct start_decode {
    base::request_id id;
    int attempt = 0;
    base::upstream_id prefill;
    base::upstream_id decode;
    int engine_priority = 0;
    base::duration limit{}; ///< Timeout for the first token.

    bool operator==(const start_decode&) const = default;
};

/// Free an attempt's resources at an engine, by closing its stream and by request id.
struct release_hold {
    base::request_id id;
    int attempt = 0;
    base::upstream_id upstream;

    bool operator==(const release_hold&) const = default;
};

/// Tell the caller that its request ended without a complete response.
struct end_request {
    base::request_id id;
    refusal reason = refusal::no_engine;
    base::duration retry_after{}; ///< Zero if a retry would not help.

    bool operator==(const end_request&) const = default;
};

using effect = std::variant<start_prefill, start_decode, release_hold, end_request>;
using effects = std::vector<effect>;

} // namespace postpaddle::decision
