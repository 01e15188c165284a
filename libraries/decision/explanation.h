// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/identifier.h>

#include <string>
#include <vector>

namespace postpaddle::decision {

/// A candidate engine pair.
struct candidate_pair {
    base::upstream_id prefill;
    base::upstream_id decode;
    double first_token_ms = 0; ///< Expected time to first token, from the time of the choice.
    double slot_wait_ms = 0;   ///< Expected wait for a decode slot.
    int cached_tokens = 0;     ///< Expected prefix-cache hit.

    bool operator==(const candidate_pair&) const = default;
};

/// A timestamped entry of a request's trace.
struct trace_entry {
    double at_ms = 0; ///< Since the request's arrival.
    std::string what;

    bool operator==(const trace_entry&) const = default;
};

/// Trace of a request and its routing decisions, for `postpaddle explain`.
struct explanation {
    base::request_id id;
    base::organisation_id organisation;
    std::vector<candidate_pair> candidates; ///< Candidates of the last choice, best first.
    std::vector<trace_entry> entries;
    int wasted_prefill_tokens = 0;

    bool operator==(const explanation&) const = default;
};

} // namespace postpaddle::decision
