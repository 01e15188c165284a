// SPDX-License-Identifier: BSD-2-Clause
// NOTE: This header is read as C++17 too; see CMakeLists.txt.
#pragma once

#include <service/run_outcome.h>

#include <cstdint>
#include <memory>

namespace postpaddle::service {

/// Phase of a request's life on this host.
enum class life_phase {
    received,
    queued,
    prefilling,
    kept,
    transferring,
    decoding,
    done,
    refused,
    broken,
    cancelled,
};

/// What can happen to a request.
enum class life_event {
    admitted,      ///< Passed the filters and went to the decision.
    prefill_sent,  ///< The prompt is about to go to an engine.
    prefill_done,  ///< The engine keeps the result.
    decode_sent,   ///< The result is about to go to a decode engine.
    first_token,   ///< The transfer is over.
    finished,      ///< The answer is whole.
    engine_failed, ///< An engine's part failed; the decision says what next.
    given_up,      ///< The decision ended the request.
    caller_gone,   ///< The caller closed or read too slowly.
};

/// How far a request may have run, which decides the outcome that its caller is told.
enum class run_certainty {
    nothing_sent,     ///< No byte went upstream.
    refused_upstream, ///< Every upstream that got it said no before it began.
    may_have_run,     ///< It was sent and no word came.
    has_run,          ///< An upstream began it.
};

/// State machine of one request's life; its table stands in docs/ARCHITECTURE.md.
class request_life {
public:
    request_life();
    request_life(const request_life&) = delete;
    request_life(request_life&&) = delete;
    request_life& operator=(const request_life&) = delete;
    request_life& operator=(request_life&&) = delete;
    ~request_life();

    /// Takes an event; false, and counted, where the phase does not know it.
    bool take(life_event event);
    [[nodiscard]] life_phase phase() const;
    /// Whether no event can change the phase any more.
    [[nodiscard]] bool is_over() const;

    /// Notes what is known of how far the request ran. Certainty of a run is never taken back.
    void note_certainty(run_certainty certainty);
    /// Outcome for the caller of a request that has no whole answer.
    [[nodiscard]] run_outcome outcome() const;
    /// Events that no phase expected, in this process.
    [[nodiscard]] static std::uint64_t unexpected_events();

private:
    struct implementation;
    std::unique_ptr<implementation> parts;
};

/// Word for a phase.
[[nodiscard]] const char* to_text(life_phase phase);

} // namespace postpaddle::service
