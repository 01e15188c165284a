// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/event_progress.h>
#include <gateway/engine_slots/engine_slot.h>
#include <gateway/gateway_request.h>
#include <gateway/streams/colocated_engine.h>
#include <gateway/streams/decode_engine_recheck.h>
#include <gateway/streams/retained_cache.h>
#include <gateway/streams/stream_estimates.h>
#include <gateway/streams/stream_watch.h>
#include <gateway/upstreams/upstream_exchange.h>
#include <wire/event_splitter.h>

#include <tl/expected.hpp>

#include <optional>
#include <set>

namespace postpaddle::gateway {

/// Relays a streaming request to model engines and their events back to the client.
///
/// A prefill engine processes the prompt and a decode engine fetches the KV cache, or the decode engine
/// processes the prompt itself. Events are forwarded in order as soon as they are complete. A broken stream
/// is resumed on another engine if the route allows it, and aborted otherwise.
class stream_relay {
public:
    explicit stream_relay(gateway_request& request)
        : request(&request), watch(request, this->progress), retained(request),
          avoids_wasted_prefills(gateway::avoids_wasted_prefills(request)) {}

    stream_relay(const stream_relay&) = delete;
    stream_relay(stream_relay&&) = delete;
    stream_relay& operator=(const stream_relay&) = delete;
    stream_relay& operator=(stream_relay&&) = delete;
    ~stream_relay() = default;

    [[nodiscard]] request_ending run(wire::yield_context yield);

private:
    enum class stream_end { complete, broken, caller_gone };

    /// Whether to make another attempt after one that did not end the request.
    enum class failed_attempt { try_again, give_up };
    /// What was received after the head of an answer.
    struct received_answer {
        stream_end stream = stream_end::broken;
        std::string body; ///< Of an answer that is not a stream.
    };

    /// Asks which engines hold the prompt, if its caller has sent the request before.
    void find_held_prompt(wire::yield_context yield);
    [[nodiscard]] bool is_caller_waiting() const;
    /// One attempt: choice and reservation of the engines, prefill and decode.
    [[nodiscard]] tl::expected<request_ending, failed_attempt> attempt(wire::yield_context yield);
    /// Has another host serve the request.
    [[nodiscard]] tl::expected<request_ending, failed_attempt> attempt_elsewhere(wire::yield_context yield);
    [[nodiscard]] tl::expected<decision::engine_plan, failed_attempt>
    reserve_next_plan(wire::yield_context yield);
    /// Fails if the request must not be sent any more: see `reason_to_stop` and `reason_without_version`.
    [[nodiscard]] tl::expected<void, failed_attempt> check_may_continue();
    /// Has it recorded where the stream begins, if that is needed.
    [[nodiscard]] tl::expected<void, failed_attempt> prepare_origin(const decision::engine_plan& plan,
                                                                    wire::yield_context yield);
    [[nodiscard]] tl::expected<void, failed_attempt> charge_send();
    [[nodiscard]] tl::expected<void, failed_attempt> check_budget();
    [[nodiscard]] tl::expected<void, failed_attempt> give_up_without_budget();
    [[nodiscard]] std::optional<decision::engine_plan> next_plan(wire::yield_context yield);
    [[nodiscard]] room_wait colocated_wait() const;
    /// Has the prompt processed where the plan has a prefill engine for it. May replace the decode engine.
    [[nodiscard]] bool prepare_plan(decision::engine_plan& plan, wire::yield_context yield);
    /// Makes the plan one without a prefill engine, which needs a single send. Returns whether it could.
    [[nodiscard]] bool skip_prefill(decision::engine_plan& plan, wire::yield_context yield);
    /// Moves the reservation to another engine if its own has been overcommitted during the prefill, or makes
    /// it again if its engine has restarted.
    void recheck(decision::engine_plan& plan, const decode_reservation& before);
    void reserve(const decision::engine_plan& plan);
    [[nodiscard]] decision::instance_use use_at(const decision::engine_plan& plan) const;
    /// Whether the engine may still be sent work.
    [[nodiscard]] bool is_usable(const base::upstream_id& engine) const;
    [[nodiscard]] std::optional<request_ending> decode(const decision::engine_plan& plan,
                                                       wire::yield_context yield);
    [[nodiscard]] std::optional<request_ending>
    handle_answer(exchange_result& exchange, const ports::upstream_attempt& send, wire::yield_context yield);
    /// Relays the events of a stream, or reads the body of another answer.
    [[nodiscard]] received_answer receive_answer(exchange_result& exchange, wire::yield_context yield);
    /// Keeps the retained cache only where the decode engine has not fetched it.
    void update_retained(const base::upstream_id& engine, const exchange_result& exchange);
    /// How the request ends with the answer; nullopt if it may be attempted again.
    [[nodiscard]] std::optional<request_ending>
    ending_after(const exchange_result& exchange, received_answer answer, wire::yield_context yield);
    [[nodiscard]] stream_end relay_events(exchange_result& exchange, wire::yield_context yield);
    /// Passes on what brings the stream further. Returns false if the caller is gone.
    [[nodiscard]] bool forward_events(const exchange_result& exchange, wire::event_splitter& splitter,
                                      wire::yield_context yield);
    /// Passes on an event after those that were held back.
    [[nodiscard]] bool pass_on(std::string_view event, const exchange_result& exchange,
                               wire::yield_context yield);
    /// Software version of the upstream that answers; empty if unknown, as after a restart under its name.
    [[nodiscard]] std::string version_of(const exchange_result& exchange) const;
    [[nodiscard]] stream_events events_so_far() const;
    void did_receive_event();
    /// Notes whether the time since the event before was a silence.
    void note_pause();
    /// Sends the head. Must wait until other hosts know what began the stream.
    void begin_stream(const exchange_result& exchange, wire::yield_context yield);
    /// Releases what the request still holds elsewhere: before it waits for a caller that may read slowly.
    void did_end();
    /// Excludes the engine from further attempts, unless it is alive and still holds the prompt.
    void exclude_failed_engine(const base::upstream_id& engine, wire::yield_context yield);
    [[nodiscard]] request_ending end_with_failure(wire::yield_context yield);

    gateway_request* request;
    stream_progress progress;
    stream_watch watch;
    std::optional<scoped_instance_use> reservation; ///< At the decode engine; made before the prefill.
    retained_cache retained;
    decision::event_progress events;
    std::string held_events; ///< Of the attempt in progress, without ids, until one with an id follows.
    decision::attempt_result last_result = decision::attempt_result::not_connected;
    bool did_violate_protocol = false; ///< Whether the last attempt's engine sent what is no answer.
    int events_of_run = 0;             ///< Of the attempt in progress.
    std::optional<base::time_point> last_event_at; ///< Of all attempts.
    bool has_stalled = false;                      ///< See `stream_events`.
    base::time_point run_sent{};                   ///< When the attempt in progress was sent to its engine.
    std::optional<base::time_point> transfer_started; ///< Cache transfer without an event so far.
    bool is_resumed = false; ///< The current attempt continues a stream that another one has started.
    wire::response_head first_head;
    bool avoids_wasted_prefills;            ///< See the function of that name.
    std::optional<exchange_result> failure; ///< Error answer to forward if no other engine does better.
    std::string failure_body;
    const char* reason = "no engine";
};

} // namespace postpaddle::gateway
