// SPDX-License-Identifier: BSD-2-Clause
#include <service/completion_response.h>

#include <wire/event_parser.h>

namespace postpaddle::service {

namespace {

std::string public_id(const request_context& context) { return context.id.value; }

} // namespace

void completion_response::set_engines(const std::string& prefill, const std::string& decode) {
    this->prefill_name = prefill;
    this->decode_name = decode;
}

void completion_response::add_event(const wire::decode_event& event, std::string_view data,
                                    const std::string& attempt_id) {
    using kind = wire::decode_event::kind;
    if (event.type == kind::token || event.type == kind::finish) {
        this->progress.text += event.text;
        if (!event.text.empty())
            ++this->progress.tokens;
    }
    if (event.type == kind::finish) {
        this->has_received_finish = true;
        this->finish_reason = event.finish_reason;
    }
    const bool is_hidden = event.type == kind::usage && !this->context->wants_usage;
    if (this->context->is_streamed && !is_hidden && event.type != kind::done)
        this->pending +=
            wire::format_event(wire::with_public_id(data, attempt_id, public_id(*this->context)));
}

bool completion_response::flush() {
    if (!this->context->is_streamed)
        return !this->context->connection->is_closed();
    if (this->pending.empty())
        return !this->context->connection->is_closed();
    if (!this->context->has_response_started) {
        this->context->has_response_started = true;
        this->context->connection->begin_stream({200, this->headers()});
    }
    const bool is_connected = this->context->connection->append(this->pending);
    this->pending.clear();
    return is_connected;
}

bool completion_response::finish(wire::yield_context yield) {
    if (this->context->is_streamed) {
        this->pending += wire::format_event("[DONE]");
        return this->flush() && this->context->connection->end_stream(yield);
    }
    return this->context->connection->send({200, this->headers(), this->complete_body()}, yield).has_value();
}

wire::http_headers completion_response::headers() const {
    wire::http_headers fields = {{"Postpaddle-Request-Id", this->context->id.value},
                                 {"Postpaddle-Prefill", this->prefill_name},
                                 {"Postpaddle-Decode", this->decode_name}};
    if (this->context->is_streamed) {
        fields.push_back({"Content-Type", "text/event-stream"});
        fields.push_back({"Cache-Control", "no-cache"});
    } else {
        fields.push_back({"Content-Type", "application/json"});
    }
    return fields;
}

std::string completion_response::complete_body() const {
    const bool is_chat = this->context->api == wire::completion_api::chat;
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(
                             this->context->services->clock->wall_now().time_since_epoch())
                             .count();
    wire::json choice = {{"index", 0}, {"finish_reason", this->finish_reason}, {"logprobs", nullptr}};
    if (is_chat)
        choice["message"] = {{"role", "assistant"}, {"content", this->progress.text}};
    else
        choice["text"] = this->progress.text;
    const int prompt_tokens = this->context->facts.prompt_tokens;
    return wire::json{{"id", (is_chat ? "chatcmpl-" : "cmpl-") + public_id(*this->context)},
                      {"object", is_chat ? "chat.completion" : "text_completion"},
                      {"created", seconds},
                      {"model", this->context->body["model"]},
                      {"choices", wire::json::array({choice})},
                      {"usage",
                       {{"prompt_tokens", prompt_tokens},
                        {"completion_tokens", this->progress.tokens},
                        {"total_tokens", prompt_tokens + this->progress.tokens}}}}
        .dump();
}

} // namespace postpaddle::service
