// SPDX-License-Identifier: BSD-2-Clause
#include <playground/example_request.h>

#include <common/generated_text.h>
#include <host/claim_key.h>
#include <wire/asio.h>
#include <wire/event_parser.h>
#include <wire/http_client.h>

#include <base/try.h>

#include <fstream>
#include <random>
#include <stdexcept>

namespace postpaddle::stand_in {

namespace {

using base::boot_clock;
using nlohmann::json;

constexpr auto request_timeout = std::chrono::seconds(20);
constexpr std::size_t max_event_bytes = 1024UL * 1024;
constexpr std::size_t max_shown_bytes = 60;
constexpr int ok_status = 200;
constexpr const char* uuid_placeholder = "@uuid7@";

std::string make_idempotency_key() {
    std::random_device random;
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count();
    return host::make_uuid7(now, random(), (std::uint64_t{random()} << 32U) | random());
}

wire::http_request make_request(const json& example) {
    wire::http_headers headers = {{"Authorization", "Bearer " + example.value("key", "")}};
    const json example_headers = example.value("headers", json::object());
    for (const auto& [name, value] : example_headers.items()) {
        const auto text = value.get<std::string>();
        headers.push_back({name, text == uuid_placeholder ? make_idempotency_key() : text});
    }
    return wire::json_request(example.at("path").get<std::string>(), example.at("body").dump(), headers);
}

bool is_completion(const json& example) { return example.at("path").get<std::string>().starts_with("/v1/"); }

std::string expected_text(const json& example) {
    const json& body = example.at("body");
    static constexpr int default_max_tokens = 256;
    return expected_completion(prompt_text(body), body.value("max_tokens", default_max_tokens));
}

/// Returns the text of a stream event or a whole response of the completions or the chat interface.
std::string completion_text(const json& parsed) {
    if (!parsed.contains("choices") || parsed["choices"].empty())
        return {};
    const json& choice = parsed["choices"][0];
    if (choice.contains("delta"))
        return choice["delta"].value("content", "");
    if (choice.contains("message"))
        return choice["message"].value("content", "");
    return choice.value("text", "");
}

/// Reads a stream to its end; returns whether it ended with the end marker.
bool read_stream(wire::open_response& response, boot_clock::time_point start, example_result& result,
                 wire::yield_context yield) {
    wire::event_parser stream(max_event_bytes);
    bool is_done = false;
    int tokens = 0;
    boot_clock::time_point first{};
    boot_clock::time_point last{};
    while (true) {
        const auto has_more = response.call->read_part(stream.input(), start + request_timeout, yield);
        if (!has_more || !*has_more)
            break;
        while (const auto data = stream.next()) {
            if (*data == "[DONE]") {
                is_done = true;
                continue;
            }
            const std::string piece = completion_text(json::parse(*data, nullptr, false));
            if (piece.empty())
                continue;
            last = boot_clock::now();
            if (tokens++ == 0)
                first = last;
            result.text += piece;
        }
    }
    using milliseconds = std::chrono::duration<double, std::milli>;
    if (tokens > 0)
        result.first_token_ms = milliseconds(first - start).count();
    if (tokens > 1)
        result.per_token_ms = milliseconds(last - first).count() / (tokens - 1);
    return is_done;
}

void read_response(const json& example, wire::open_response& response, boot_clock::time_point start,
                   example_result& result, wire::yield_context yield) {
    const bool is_stream =
        wire::find_header(response.head.headers, "Content-Type").starts_with("text/event-stream");
    if (is_stream) {
        const bool is_done = read_stream(response, start, result, yield);
        result.is_complete = is_done && result.text == expected_text(example);
        return;
    }
    const auto body = response.call->read_remaining_body(start + request_timeout, yield);
    if (!body)
        return;
    result.first_token_ms = std::chrono::duration<double, std::milli>(boot_clock::now() - start).count();
    const json parsed = json::parse(*body, nullptr, false);
    result.text = parsed.is_object() && parsed.contains("choices") ? completion_text(parsed) : *body;
    if (result.status != ok_status)
        return;
    result.is_complete = is_completion(example)
                             ? result.text == expected_text(example)
                             : parsed.is_object() && parsed.value("path", "") == example.at("path");
}

} // namespace

std::vector<json> read_examples(const std::string& path) {
    std::ifstream file(path);
    if (!file)
        throw std::runtime_error("can't read " + path);
    std::vector<json> examples;
    for (std::string line; std::getline(file, line);) {
        if (line.empty())
            continue;
        examples.push_back(json::parse(line));
    }
    return examples;
}

example_result send_example(const std::string& address, const json& example) {
    example_result result;
    result.name = example.value("name", "");
    wire::asio::io_context context{1};
    wire::connection_pool pool(context, wire::response_bounds{});
    wire::spawn_coroutine(context, [&](wire::yield_context yield) {
        const auto start = boot_clock::now();
        auto response = wire::open_exchange(
            pool, address, make_request(example), wire::connection_use::only_new,
            {.deadline = start + request_timeout}, [](const std::shared_ptr<wire::upstream_connection>&) {},
            yield);
        if (!response) {
            context.stop();
            return;
        }
        result.status = response->head.status;
        result.outcome = wire::find_header(response->head.headers, "Postpaddle-Outcome");
        result.prefill = wire::find_header(response->head.headers, "Postpaddle-Prefill");
        result.decode = wire::find_header(response->head.headers, "Postpaddle-Decode");
        read_response(example, *response, start, result, yield);
        context.stop(); // Pending timeout timers would keep run() from returning.
    });
    context.run();
    if (result.text.size() > max_shown_bytes)
        result.text.resize(max_shown_bytes);
    return result;
}

json to_json(const example_result& result) {
    return {{"name", result.name},
            {"status", result.status},
            {"outcome", result.outcome},
            {"whole", result.is_complete},
            {"prefill", result.prefill},
            {"decode", result.decode},
            {"first_token_ms", result.first_token_ms},
            {"per_token_ms", result.per_token_ms}};
}

} // namespace postpaddle::stand_in
