// SPDX-License-Identifier: BSD-2-Clause
#include <load_driver/caller.h>

#include <common/generated_text.h>
#include <wire/event_parser.h>
#include <wire/http_client.h>

#include <atomic>

namespace postpaddle::stand_in {

using base::boot_clock;

namespace {

constexpr auto request_timeout = std::chrono::seconds(30);
constexpr std::size_t max_event_bytes = 1024UL * 1024;
constexpr int ok_status = 200;

double milliseconds_since(boot_clock::time_point start) {
    return std::chrono::duration<double, std::milli>(boot_clock::now() - start).count();
}

wire::http_request make_request(const load_plan& plan, const planned_request& planned) {
    static std::atomic<std::uint64_t> sequence{0};
    const request_class& item = plan.classes[planned.class_index];
    const nlohmann::json body = {
        {"model", item.model}, {"prompt", planned.prompt}, {"max_tokens", item.max_tokens}, {"stream", true}};
    wire::http_headers headers = {{"Authorization", "Bearer " + item.key}};
    if (plan.is_direct)
        headers.push_back({"X-Request-Id", "driver.1." + std::to_string(++sequence)});
    if (!planned.idempotency_key.empty()) {
        headers.push_back({"Idempotency-Key", planned.idempotency_key});
        headers.push_back({"Postpaddle-Repeatable", "no"});
    }
    return wire::json_request(plan.path, body.dump(), std::move(headers));
}

/// Returns the text of a completion event. Sets `is_done` for the end marker, `has_error` and `outcome` for
/// an error.
std::string parse_event(std::string_view data, bool& is_done, bool& has_error, std::string& outcome) {
    if (data == "[DONE]") {
        is_done = true;
        return {};
    }
    const auto parsed = nlohmann::json::parse(data, nullptr, false);
    if (!parsed.is_object())
        return {};
    if (parsed.contains("error")) {
        has_error = true;
        outcome = parsed["error"].value("outcome", "");
        return {};
    }
    const auto& choices = parsed["choices"];
    return choices.empty() ? std::string() : choices[0].value("text", std::string());
}

void read_stream(const load_plan& plan, const planned_request& planned, wire::open_response& response,
                 boot_clock::time_point start, request_result& result, wire::yield_context yield) {
    wire::event_parser stream(max_event_bytes);
    std::string text;
    bool is_done = false;
    bool has_error = false;
    double last_ms = 0;
    while (true) {
        const auto has_more =
            response.call->read_part(stream.input(), boot_clock::now() + request_timeout, yield);
        if (!has_more || !*has_more)
            break;
        while (const auto data = stream.next()) {
            const std::string piece = parse_event(*data, is_done, has_error, result.outcome);
            if (piece.empty())
                continue;
            last_ms = milliseconds_since(start);
            if (result.tokens == 0)
                result.first_token_ms = last_ms;
            ++result.tokens;
            text += piece;
        }
    }
    if (result.tokens > 1)
        result.per_token_ms = (last_ms - result.first_token_ms) / (result.tokens - 1);
    const int max_tokens = plan.classes[planned.class_index].max_tokens;
    const bool has_expected_text = text == expected_completion(planned.prompt, max_tokens);
    result.is_complete = is_done && !has_error && has_expected_text;
    result.is_incorrect = is_done && !has_error && !has_expected_text;
}

} // namespace

request_result send_request(wire::connection_pool& pool, wire::asio::io_context& context,
                            const load_plan& plan, const planned_request& planned,
                            wire::yield_context yield) {
    request_result result;
    result.organisation = plan.classes[planned.class_index].organisation;
    const auto start = boot_clock::now();
    std::shared_ptr<wire::upstream_connection> connection;
    wire::boot_timer cancel_timer(context);
    const auto on_call = [&](std::shared_ptr<wire::upstream_connection> next) {
        connection = std::move(next);
    };
    if (planned.cancel_after >= 0) {
        cancel_timer.expires_after(
            std::chrono::microseconds(static_cast<std::int64_t>(planned.cancel_after * 1e6)));
        cancel_timer.async_wait([&](const wire::error_code& error) {
            if (error || !connection)
                return;
            result.is_cancelled = true;
            connection->cancel();
        });
    }
    const std::string& address = plan.hosts[planned.host_index];
    auto response =
        wire::open_exchange(pool, address, make_request(plan, planned), wire::connection_use::may_reuse,
                            {.deadline = start + request_timeout}, on_call, yield);
    if (response) {
        result.status = response->head.status;
        result.outcome = wire::find_header(response->head.headers, "Postpaddle-Outcome");
        if (result.status == ok_status)
            read_stream(plan, planned, *response, start, result, yield);
        else
            (void)response->call->read_remaining_body(start + request_timeout, yield);
    }
    // The timer's callback refers to local variables, so it must have run or been cancelled before they are
    // destroyed.
    cancel_timer.cancel();
    wire::error_code ignored;
    wire::asio::post(context, yield[ignored]);
    if (response && !result.is_cancelled)
        pool.release(address, response->call);
    return result;
}

} // namespace postpaddle::stand_in
