// SPDX-License-Identifier: BSD-2-Clause
#include <wire/engine_adapter.h>

#include <base/json_parser.h>
#include <wire/http_client.h>

#include <simdjson.h>

namespace postpaddle::wire {

namespace {

constexpr const char* completion_prefix = "cmpl-";
constexpr const char* chat_prefix = "chatcmpl-";
constexpr std::string_view done_data = "[DONE]";

/// Compares a response's id with the attempt's without allocating, as this runs for each token.
bool is_own_id(std::string_view id, const engine_attempt& attempt) {
    const std::string_view prefix = attempt.api == completion_api::chat ? chat_prefix : completion_prefix;
    return id.starts_with(prefix) && id.substr(prefix.size()) == attempt.attempt_id;
}

wire_error malformed(std::string detail) { return {wire_failure::malformed, std::move(detail)}; }

json make_common_body(const json& body, const engine_attempt& attempt, const resume_point& resume) {
    json message = body;
    message["model"] = attempt.model;
    message["cache_salt"] = attempt.cache_salt;
    message["priority"] = attempt.priority;
    message.erase("stream_options");
    if (resume.text.empty())
        return message;
    if (attempt.api == completion_api::completions) {
        message["prompt"] = message["prompt"].get<std::string>() + resume.text;
    } else {
        message["messages"].push_back({{"role", "assistant"}, {"content", resume.text}});
        message["continue_final_message"] = true;
        message["add_generation_prompt"] = false;
    }
    return message;
}

http_request make_engine_request(const json& message, const engine_attempt& attempt) {
    return json_request(path_of(attempt.api), message.dump(), {{"X-Request-Id", attempt.attempt_id}});
}

} // namespace

const char* path_of(completion_api api) {
    return api == completion_api::chat ? "/v1/chat/completions" : "/v1/completions";
}

http_request make_prefill_request(const json& body, const engine_attempt& attempt,
                                  const resume_point& resume) {
    json message = make_common_body(body, attempt, resume);
    message["max_tokens"] = 1;
    message.erase("max_completion_tokens");
    message["stream"] = false;
    message["kv_transfer_params"] = {{"do_remote_decode", true}, {"do_remote_prefill", false}};
    return make_engine_request(message, attempt);
}

expected<prefill_response> parse_prefill_response(const std::string& text, const engine_attempt& attempt) {
    const json parsed = base::parse_json(text);
    if (!parsed.is_object())
        return tl::make_unexpected(malformed("prefill answer is not JSON"));
    try {
        if (!is_own_id(parsed.at("id").get<std::string>(), attempt))
            return tl::make_unexpected(malformed("prefill answer of another request"));
        prefill_response response;
        response.kv_transfer_params = parsed.at("kv_transfer_params");
        const json& usage = parsed.at("usage");
        response.prompt_tokens = usage.at("prompt_tokens").get<int>();
        if (usage.contains("prompt_tokens_details") && usage["prompt_tokens_details"].is_object())
            response.cached_tokens = usage["prompt_tokens_details"].value("cached_tokens", 0);
        if (!response.kv_transfer_params.is_object() || response.prompt_tokens < 0)
            return tl::make_unexpected(malformed("prefill answer without its result"));
        return response;
    } catch (const json::exception& error) {
        return tl::make_unexpected(malformed(error.what()));
    }
}

http_request make_decode_request(const json& body, const engine_attempt& attempt,
                                 const json& kv_transfer_params, const resume_point& resume) {
    json message = make_common_body(body, attempt, resume);
    if (resume.tokens > 0 && message.contains("max_tokens"))
        message["max_tokens"] = message["max_tokens"].get<int>() - resume.tokens;
    message["stream"] = true;
    message["stream_options"] = {{"include_usage", true}};
    message["kv_transfer_params"] = kv_transfer_params;
    return make_engine_request(message, attempt);
}

namespace {

/// Returns a choice's text: `delta.content` of chats, `text` of completions. Empty if it has none.
std::string_view choice_text(const simdjson::dom::element& choice, completion_api api) {
    std::string_view text;
    simdjson::error_code error = simdjson::SUCCESS;
    if (api == completion_api::chat)
        error = choice["delta"]["content"].get(text);
    else
        error = choice["text"].get(text);
    return error == simdjson::SUCCESS ? text : std::string_view{};
}

} // namespace

expected<decode_event> parse_decode_event(std::string_view data, const engine_attempt& attempt) {
    decode_event event;
    if (data == done_data) {
        event.type = decode_event::kind::done;
        return event;
    }
    // OPTIMIZATION: This runs for each token; simdjson takes a tenth of the time of nlohmann::json here.
    thread_local simdjson::dom::parser parser;
    simdjson::dom::element parsed;
    std::string_view id;
    simdjson::dom::array choices;
    if (parser.parse(data.data(), data.size()).get(parsed) != simdjson::SUCCESS)
        return tl::make_unexpected(malformed("event is not JSON"));
    if (parsed["id"].get(id) != simdjson::SUCCESS || !is_own_id(id, attempt))
        return tl::make_unexpected(malformed("event of another request"));
    if (parsed["choices"].get(choices) != simdjson::SUCCESS)
        return tl::make_unexpected(malformed("event without choices"));
    if (choices.size() == 0) {
        std::int64_t tokens = 0;
        if (parsed["usage"]["completion_tokens"].get(tokens) != simdjson::SUCCESS)
            return tl::make_unexpected(malformed("event without text or usage"));
        event.type = decode_event::kind::usage;
        event.completion_tokens = static_cast<int>(tokens);
        return event;
    }
    const simdjson::dom::element choice = choices.at(0).value_unsafe();
    std::string_view reason;
    if (choice["finish_reason"].get(reason) == simdjson::SUCCESS) {
        event.type = decode_event::kind::finish;
        event.finish_reason = std::string(reason);
    }
    event.text = std::string(choice_text(choice, attempt.api));
    return event;
}

std::string with_public_id(std::string_view data, const std::string& attempt_id,
                           const std::string& public_id) {
    const auto position = data.find(attempt_id);
    if (position == std::string_view::npos)
        return std::string(data);
    std::string text;
    text.reserve(data.size());
    text.append(data.substr(0, position)).append(public_id);
    return text.append(data.substr(position + attempt_id.size()));
}

http_request make_abort_request(const std::string& attempt_id) {
    return json_request("/abort_request", json{{"rid", attempt_id}}.dump());
}

http_request make_role_order(const std::string& role, std::uint64_t token) {
    return json_request("/orders", json{{"role", role}, {"token", token}}.dump());
}

http_request make_load_request() { return get_request("/load"); }

expected<decision::load_report> parse_load(const std::string& text) {
    const json parsed = base::parse_json(text);
    if (!parsed.is_object())
        return tl::make_unexpected(malformed("load is not JSON"));
    try {
        decision::load_report report;
        report.active_decodes = parsed.value("num_requests_running", 0);
        report.waiting_decodes = parsed.value("num_requests_waiting", 0);
        report.decode_slots = parsed.value("max_num_seqs", 0);
        report.queued_prompt_tokens = parsed.value("num_prompt_tokens_waiting", 0);
        report.is_draining = parsed.value("draining", false);
        return report;
    } catch (const json::exception& error) {
        return tl::make_unexpected(malformed(error.what()));
    }
}

http_request make_attempt_list_request() { return get_request("/requests"); }

expected<std::vector<std::string>> parse_attempt_list(const std::string& text) {
    const json parsed = base::parse_json(text);
    try {
        return parsed.at("requests").get<std::vector<std::string>>();
    } catch (const json::exception& error) {
        return tl::make_unexpected(malformed(error.what()));
    }
}

} // namespace postpaddle::wire
