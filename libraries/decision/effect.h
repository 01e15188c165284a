// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>

#include <variant>
#include <vector>

namespace postpaddle::decision {

/// Why a request ended without an answer.
enum class refusal {
    no_deployment,      ///< The deployment has no usable pools.
    no_engine,          ///< Every engine of a pool is gone or put aside.
    cannot_meet_target, ///< The first token would come too late.
    queue_full,         ///< The longest queue time or length was reached.
    upstream_failed,    ///< An engine failed and a retry is not allowed or can't meet the target.
};

/// Send the prompt to a prefill engine. A decode place is already reserved.
struct start_prefill {
    base::request_id id;
    int attempt = 0;
    base::upstream_id prefill;
    base::upstream_id decode; ///< Empty where a baseline binds it later.
    int engine_priority = 0;  ///< For the engine; smaller goes first.
    base::duration limit{};   ///< The phase has failed as `late` after this.

    bool operator==(const start_prefill&) const = default;
};

/// Send the kept result to a decode engine.
struct start_decode {
    base::request_id id;
    int attempt = 0;
    base::upstream_id prefill;
    base::upstream_id decode;
    int engine_priority = 0;
    base::duration limit{}; ///< Time to the first token.

    bool operator==(const start_decode&) const = default;
};

/// Free what an engine holds of an attempt, by closing its stream and by request id.
struct release_hold {
    base::request_id id;
    int attempt = 0;
    base::upstream_id upstream;

    bool operator==(const release_hold&) const = default;
};

/// Tell the caller at once that its request has ended without a (whole) answer.
struct end_request {
    base::request_id id;
    refusal reason = refusal::no_engine;
    base::duration retry_after{}; ///< When a retry makes sense; zero where it does not.

    bool operator==(const end_request&) const = default;
};

using effect = std::variant<start_prefill, start_decode, release_hold, end_request>;
using effects = std::vector<effect>;

} // namespace postpaddle::decision
