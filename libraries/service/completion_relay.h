// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <service/completion_response.h>
#include <service/request_context.h>
#include <wire/event_parser.h>

#include <optional>
#include <string>

namespace postpaddle::service {

/// What is known about an engine's process after a request to it failed.
enum class engine_liveness {
    unknown,
    exited, ///< The process has exited: nothing listens at its address any more.
};

/// Runs one completion on the engines that the decision thread selects and relays the response to the caller.
class completion_relay {
public:
    explicit completion_relay(request_context& context) : context(&context), caller_response(context) {}

    /// Carries out the decision's effects until the response is complete, the decision ends the request or
    /// the caller disconnects.
    [[nodiscard]] filter_result run(wire::yield_context yield);

private:
    void run_prefill(const decision::start_prefill& effect, wire::yield_context yield);
    [[nodiscard]] wire::expected<wire::prefill_response>
    exchange_prefill(const decision::start_prefill& effect, wire::yield_context yield);
    /// Returns true once the engine has sent the complete response.
    [[nodiscard]] bool run_decode(const decision::start_decode& effect, wire::yield_context yield);
    [[nodiscard]] wire::expected<void> relay_stream(const decision::start_decode& effect,
                                                    wire::upstream_connection& connection,
                                                    wire::yield_context yield);
    [[nodiscard]] wire::expected<void> process_events(const decision::start_decode& effect,
                                                      const wire::engine_attempt& attempt,
                                                      wire::event_parser& stream, wire::yield_context yield);
    void record_first_token(const decision::start_decode& effect, wire::yield_context yield);
    void handle_failure(int attempt, const wire::wire_error& error, engine_liveness liveness,
                        wire::yield_context yield);
    /// Checks whether the engine's process has exited, given the error of a request to it. May open a
    /// connection.
    [[nodiscard]] engine_liveness check_engine(const base::upstream_id& engine, const wire::wire_error& error,
                                               wire::yield_context yield);
    [[nodiscard]] wire::engine_attempt attempt_of(int attempt, int priority) const;
    [[nodiscard]] const std::string* address_of(const base::upstream_id& upstream) const;
    [[nodiscard]] problem_details problem_of(const decision::end_request& effect) const;
    [[nodiscard]] filter_result handle_disconnect(wire::yield_context yield);
    /// Ends a request that must not be sent to another engine.
    [[nodiscard]] filter_result end_with_problem(problem_details problem, wire::yield_context yield);
    void record_timings();

    request_context* context;
    completion_response caller_response;
    wire::json kv_transfer_params;
    std::shared_ptr<wire::upstream_connection> active_connection;
    std::optional<base::time_point> first_token;
    base::time_point last_token{};
};

} // namespace postpaddle::service
