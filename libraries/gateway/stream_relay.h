// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <gateway/gateway_request.h>
#include <gateway/upstream_exchange.h>
#include <wire/event_splitter.h>

#include <optional>

namespace postpaddle::gateway {

/// Carries a request to model engines and its stream of events back.
///
/// The prompt is read by a prefill engine and its KV cache fetched by a decode engine, or read by the decode
/// engine itself. Events go on as they come, whole and in order; a broken stream goes on at another engine
/// where the route allows it, and is broken off where not.
class stream_relay {
public:
    explicit stream_relay(gateway_request& request) : request(&request) {}

    [[nodiscard]] request_ending run(wire::yield_context yield);

private:
    /// What a decode engine's stream came to.
    enum class stream_end { whole, broken, caller_gone };

    [[nodiscard]] std::optional<decision::engine_plan> choose();
    [[nodiscard]] bool read_prompt(const decision::engine_plan& plan, wire::yield_context yield);
    [[nodiscard]] std::optional<request_ending> decode(const decision::engine_plan& plan,
                                                       wire::yield_context yield);
    [[nodiscard]] std::optional<request_ending> take_answer(exchange_result& exchange,
                                                            const ports::upstream_send& send,
                                                            base::time_point limit, work_mark& mark,
                                                            wire::yield_context yield);
    [[nodiscard]] stream_end relay_events(exchange_result& exchange, base::time_point limit, work_mark& mark,
                                          wire::yield_context yield);
    [[nodiscard]] bool pass_events(wire::event_splitter& events, work_mark& mark);
    [[nodiscard]] base::time_point limit_of_silence() const;
    [[nodiscard]] bool may_go_elsewhere() const;
    [[nodiscard]] request_ending give_up(wire::yield_context yield);
    void release_kept();

    gateway_request* request;
    decision::prompt_size size;
    std::optional<ports::kept_prompt> kept;
    std::optional<std::uint64_t> last_event;
    decision::send_result last = decision::send_result::not_connected;
    std::set<base::upstream_id> failed_prefills;
    int prompts_sent = 0;
    bool is_begun = false; ///< The caller has the head and events of the answer.
    wire::response_head first_head;
    std::string first_events;
    std::optional<exchange_result> failure; ///< Answer of failure that is passed on when none does better.
    std::string failure_body;
    const char* reason = "no engine";
};

} // namespace postpaddle::gateway
