// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/endings/request_guard.h>

#include <gateway/endings/request_record.h>
#include <gateway/operations/decision_log.h>
#include <gateway/operations/gateway_metrics.h>
#include <gateway/retry_payment.h>

namespace postpaddle::gateway {

namespace {

constexpr int internal_error_status = 500;
constexpr const char* internal_error_reason = "internal error";

/// Ends the request's work elsewhere.
void stop_work(gateway_request& request) {
    request.connection->stop_watching();
    if (const auto upstream = std::exchange(request.cancellation->connection, nullptr))
        upstream->cancel();
    request.share_use.reset();
    settle_send(request, true);
    release_reserved_retries(request);
}

/// Whether any part of a response has been made, written or not.
bool has_begun_response(const wire::caller_connection& connection) {
    return connection.progress() != wire::response_progress::none || connection.unsent().bytes > 0;
}

void answer_after_exception(gateway_request& request, wire::yield_context yield) {
    request.reason = internal_error_reason;
    if (has_begun_response(*request.connection)) {
        request.connection->abort();
        return record_request_end(request, request_ending::broken_off);
    }
    // Whether an upstream was sent the request may not have been recorded, so this must not say "not run".
    wire::http_response response{
        internal_error_status,
        {{"Postpaddle-Outcome", "unknown"}, {"Postpaddle-Reason", internal_error_reason}},
        ""};
    if (request.forwarded_by)
        set_forwarding_label(response.headers, {.outcome = forwarding_outcome::may_have_run,
                                                .attempts = request.record.max_attempts});
    (void)request.connection->send(response, yield);
    record_request_end(request, request_ending::failed, internal_error_status);
}

} // namespace

void serve_to_end(gateway_request& request, const std::function<void()>& serve, wire::yield_context yield) {
    std::string failure;
    try {
        serve();
        return;
    } catch (const std::exception& error) {
        failure = error.what();
    }
    // Not in the handler, within which a coroutine must not be suspended.
    request.state->metrics->count("request_exceptions_total");
    request.state->log->write_always("request_exception",
                                     {{"request", request.routed.id}, {"detail", failure}});
    stop_work(request);
    answer_after_exception(request, yield);
}

} // namespace postpaddle::gateway
