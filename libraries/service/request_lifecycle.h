// SPDX-License-Identifier: BSD-2-Clause
// NOTE: This header is also compiled as C++17; see CMakeLists.txt.
#pragma once

#include <service/run_outcome.h>

#include <cstdint>
#include <memory>

namespace postpaddle::service {

/// Phase of a request on this host.
enum class lifecycle_phase {
    received,
    queued,
    prefilling,
    retained,
    transferring,
    decoding,
    done,
    refused,
    broken,
    cancelled,
};

enum class lifecycle_event {
    admitted,      ///< Passed the filters and was submitted to the decision.
    prefill_sent,  ///< The prompt is about to be sent to a prefill engine.
    prefill_done,  ///< The engine retains the KV cache.
    decode_sent,   ///< The request is about to be sent to a decode engine.
    first_token,   ///< The transfer of the KV cache is complete.
    finished,      ///< The response is complete.
    engine_failed, ///< An attempt failed; the decision chooses how to continue.
    abandoned,     ///< The request is abandoned with an error.
    caller_gone,   ///< The caller disconnected or read too slowly.
};

/// How far a request may have run, in increasing order; determines the outcome reported to the caller.
enum class run_certainty {
    nothing_sent,     ///< Nothing was sent to an upstream.
    refused_upstream, ///< Every upstream that received it rejected it before starting it.
    may_have_run,     ///< It was sent, but no response was received.
    has_run,          ///< An upstream started it.
};

/// State machine of one request; docs/ARCHITECTURE.md has the transition table.
class request_lifecycle {
public:
    request_lifecycle();
    request_lifecycle(const request_lifecycle&) = delete;
    request_lifecycle(request_lifecycle&&) = delete;
    request_lifecycle& operator=(const request_lifecycle&) = delete;
    request_lifecycle& operator=(request_lifecycle&&) = delete;
    ~request_lifecycle();

    /// Processes an event. Returns false and counts it if the current phase has no transition for it.
    bool handle_event(lifecycle_event event);
    [[nodiscard]] lifecycle_phase phase() const;
    /// Whether the phase is final.
    [[nodiscard]] bool is_over() const;

    /// Raises the certainty that the request ran; lower values than the current one are ignored.
    void record_certainty(run_certainty certainty);
    /// Outcome to report to the caller if the response is not complete.
    [[nodiscard]] run_outcome outcome() const;
    /// Number of events without a transition, over all requests of this process.
    [[nodiscard]] static std::uint64_t unexpected_events();

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

[[nodiscard]] const char* to_text(lifecycle_phase phase);

} // namespace postpaddle::service
