// SPDX-License-Identifier: BSD-2-Clause
#include <engine/engine.h>

#include <wire/event_parser.h>
#include <wire/http_client.h>

#include <cstdlib>

namespace postpaddle::stand_in {

using base::boot_clock;

namespace {

constexpr int oversized_stream_tokens = 5000;
constexpr int tokens_before_interruption = 5;
constexpr auto transfer_timeout = std::chrono::seconds(20);
constexpr auto load_sample_interval = std::chrono::milliseconds(20);

json event_body(const std::string& id, bool is_chat, const std::string& text, const json& finish_reason) {
    json choice = {{"index", 0}, {"finish_reason", finish_reason}};
    if (is_chat)
        choice["delta"] = {{"content", text}};
    else
        choice["text"] = text;
    return {{"id", id},
            {"object", is_chat ? "chat.completion.chunk" : "text_completion"},
            {"created", 0},
            {"model", "stand-in"},
            {"choices", json::array({choice})}};
}

std::string completion_id(const std::string& id, bool is_chat) {
    return (is_chat ? "chatcmpl-" : "cmpl-") + id;
}

} // namespace

engine::engine(wire::asio::io_context& context, const engine_options& engine_options)
    : context(&context), options(engine_options), prefills(context, this->options, this->counters),
      decodes(context, this->options, this->counters), pool(context, wire::response_bounds{}) {
    wire::spawn_coroutine(context, [this](wire::yield_context yield) { this->sample_load(yield); });
}

bool engine::consume_fault(int& fault) {
    if (fault <= 0)
        return false;
    --fault;
    return true;
}

void engine::serve(const wire::http_request& request, wire::caller_connection& connection,
                   wire::yield_context yield) {
    const std::string& target = request.target;
    if (target == "/v1/completions" || target == "/v1/chat/completions")
        this->handle_completion(request, connection, yield);
    else if (target == "/kv/pull")
        this->handle_kv_pull(request, connection, yield);
    else if (target == "/abort_request") {
        const std::string id = parse_json_body(request).value("rid", "");
        const bool did_abort_prefill = this->prefills.abort(id);
        const bool did_abort_decode = this->decodes.abort(id);
        if (did_abort_prefill || did_abort_decode)
            ++this->counters.aborted;
        (void)connection.send(json_response({{"aborted", did_abort_prefill || did_abort_decode}}), yield);
    } else if (target == "/load")
        (void)connection.send(json_response(this->reported_load()), yield);
    else if (target == "/requests") {
        auto ids = this->prefills.request_ids();
        for (std::string& id : this->decodes.request_ids())
            ids.push_back(std::move(id));
        (void)connection.send(json_response({{"requests", ids}}), yield);
    } else if (target == "/counters")
        (void)connection.send(json_response(this->counters_json()), yield);
    else if (target == "/control")
        (void)connection.send(this->set_faults(parse_json_body(request)), yield);
    else if (target == "/orders")
        (void)connection.send(this->handle_order(parse_json_body(request)), yield);
    else
        (void)connection.send(json_response({{"error", "no such path"}}, 404), yield);
}

void engine::handle_completion(const wire::http_request& request, wire::caller_connection& connection,
                               wire::yield_context yield) {
    const json body = parse_json_body(request);
    const std::string id(wire::find_header(request.headers, "X-Request-Id"));
    const bool is_chat = request.target == "/v1/chat/completions";
    if (this->is_draining || consume_fault(this->faults.rejected_requests)) {
        (void)connection.send(json_response({{"error", "busy"}}, 503), yield);
        return;
    }
    if (this->faults.response_delay_ms > 0) {
        wire::boot_timer timer(*this->context, std::chrono::milliseconds(this->faults.response_delay_ms));
        wire::error_code ignored;
        timer.async_wait(yield[ignored]);
    }
    if (consume_fault(this->faults.malformed_responses)) {
        (void)connection.send({200, {{"Content-Type", "application/json"}}, "{\"id\": 7, ]"}, yield);
        return;
    }
    const json parameters = body.value("kv_transfer_params", json::object());
    if (parameters.value("do_remote_decode", false))
        this->run_prefill(body, id, is_chat, connection, yield);
    else
        this->run_decode(body, id, is_chat, connection, yield);
}

void engine::run_prefill(const json& body, const std::string& id, bool is_chat,
                         wire::caller_connection& connection, wire::yield_context yield) {
    auto job = std::make_shared<prefill_job>(*this->context);
    job->id = id;
    job->prompt = prompt_text(body);
    job->salt = body.value("cache_salt", "");
    job->priority = body.value("priority", 0);
    job->tokens = count_tokens(job->prompt);
    connection.watch_for_disconnect([this, job] { this->prefills.cancel(job); });
    if (!this->prefills.run(job, yield)) {
        if (!connection.is_closed())
            (void)connection.send(json_response({{"error", "aborted"}}, 499), yield);
        return;
    }
    const std::string response_id =
        completion_id(consume_fault(this->faults.mismatched_ids) ? "somebody.else.1" : id, is_chat);
    const json answer = {{"id", response_id},
                         {"choices", json::array({{{"index", 0}, {"finish_reason", "length"}}})},
                         {"usage",
                          {{"prompt_tokens", job->tokens},
                           {"completion_tokens", 1},
                           {"prompt_tokens_details", {{"cached_tokens", job->cached_tokens}}}}},
                         {"kv_transfer_params",
                          {{"do_remote_prefill", true},
                           {"do_remote_decode", false},
                           {"remote_engine_id", this->options.name},
                           {"remote_request_id", id},
                           {"remote_host", "127.0.0.1"},
                           {"remote_port", this->port}}}};
    (void)connection.send(json_response(answer), yield);
}

void engine::run_decode(const json& body, const std::string& id, bool is_chat,
                        wire::caller_connection& connection, wire::yield_context yield) {
    const std::string prompt = prompt_text(body);
    auto job = std::make_shared<decode_job>(*this->context);
    job->id = id;
    job->priority = body.value("priority", 0);
    job->plan = plan_generation(prompt, body.value("max_tokens", 16));
    connection.watch_for_disconnect([job] { decode_stage::cancel(*job); });
    bool is_ready = this->decodes.acquire_slot(job, yield);
    int status = 499;
    const json parameters = body.value("kv_transfer_params", json::object());
    if (is_ready && parameters.value("do_remote_prefill", false)) {
        status = this->fetch_kv(parameters, *job, yield);
        is_ready = status == 200 && !job->is_cancelled;
    }
    if (is_ready && prompt == this->faults.fatal_prompt)
        std::_Exit(EXIT_FAILURE);
    if (is_ready) {
        ++this->runs[job->plan.prompt_digest];
        this->stream_tokens(
            job, completion_id(consume_fault(this->faults.mismatched_ids) ? "somebody.else.1" : id, is_chat),
            is_chat, count_tokens(prompt), connection, yield);
    } else if (!connection.is_closed()) {
        (void)connection.send(
            json_response({{"error", "no KV cache, or aborted"}}, status == 200 ? 499 : status), yield);
    }
    this->decodes.release_slot(job);
}

int engine::fetch_kv(const json& parameters, decode_job& job, wire::yield_context yield) {
    const std::string address =
        parameters.value("remote_host", "") + ":" + std::to_string(parameters.value("remote_port", 0));
    const json body = {{"id", parameters.value("remote_request_id", "")}};
    const auto deadline = boot_clock::now() + transfer_timeout;
    const auto on_call = [&job](const std::shared_ptr<wire::upstream_connection>& call) {
        job.on_cancel = [call] { call->cancel(); };
    };
    auto open = wire::open_exchange(this->pool, address, wire::json_request("/kv/pull", body.dump()),
                                    wire::connection_use::may_reuse, {.deadline = deadline}, on_call, yield);
    job.on_cancel = nullptr;
    if (!open || open->head.status != 200 || !open->call->read_remaining_body(deadline, yield)) {
        ++this->counters.failed_transfers;
        return 410;
    }
    this->pool.release(address, open->call);
    return 200;
}

void engine::handle_kv_pull(const wire::http_request& request, wire::caller_connection& connection,
                            wire::yield_context yield) {
    const bool should_stall = consume_fault(this->faults.stalled_transfers);
    const bool was_sent =
        this->prefills.send_result(parse_json_body(request).value("id", ""), should_stall, yield);
    (void)connection.send(json_response({{"sent", was_sent}}, was_sent ? 200 : 410), yield);
}

void engine::stream_tokens(const std::shared_ptr<decode_job>& job, const std::string& response_id,
                           bool is_chat, int prompt_tokens, wire::caller_connection& connection,
                           wire::yield_context yield) {
    if (consume_fault(this->faults.oversized_streams))
        job->plan.end_position += oversized_stream_tokens;
    job->is_stalled = consume_fault(this->faults.stalled_streams);
    const int interrupt_at = consume_fault(this->faults.interrupted_streams)
                                 ? job->plan.first_position + tokens_before_interruption
                                 : -1;
    bool has_sent_head = false;
    job->on_token = [&](int position) {
        if (!has_sent_head) {
            has_sent_head = true;
            connection.begin_stream({200, {{"Content-Type", "text/event-stream"}}});
        }
        if (position == interrupt_at) {
            connection.abort();
            job->is_cancelled = true;
            return false;
        }
        const json event = event_body(response_id, is_chat, token_text(job->plan, position), nullptr);
        return connection.append(wire::format_event(event.dump()));
    };
    if (!this->decodes.run(job, yield)) {
        if (!connection.is_closed() && !has_sent_head)
            (void)connection.send(json_response({{"error", "aborted"}}, 499), yield);
        connection.abort();
        return;
    }
    const json finish = event_body(response_id, is_chat, "", job->plan.is_truncated ? "length" : "stop");
    const int completion_tokens = job->plan.end_position - job->plan.first_position;
    const json usage = {{"id", response_id},
                        {"choices", json::array()},
                        {"usage",
                         {{"prompt_tokens", prompt_tokens},
                          {"completion_tokens", completion_tokens},
                          {"total_tokens", prompt_tokens + completion_tokens}}}};
    (void)connection.append(wire::format_event(finish.dump()) + wire::format_event(usage.dump()) +
                            wire::format_event("[DONE]"));
    ++this->counters.completed;
    (void)connection.end_stream(yield);
}

wire::http_response engine::set_faults(const json& body) {
    if (body.value("crash", false))
        std::_Exit(EXIT_FAILURE);
    this->faults.rejected_requests = body.value("refuse", this->faults.rejected_requests);
    this->faults.malformed_responses = body.value("garbage", this->faults.malformed_responses);
    this->faults.mismatched_ids = body.value("crossed", this->faults.mismatched_ids);
    this->faults.oversized_streams = body.value("flood", this->faults.oversized_streams);
    this->faults.interrupted_streams = body.value("cut", this->faults.interrupted_streams);
    this->faults.response_delay_ms = body.value("late_ms", this->faults.response_delay_ms);
    this->faults.stalled_transfers = body.value("stall_transfer", this->faults.stalled_transfers);
    this->faults.stalled_streams = body.value("stall_tokens", this->faults.stalled_streams);
    this->faults.fatal_prompt = body.value("fatal_prompt", this->faults.fatal_prompt);
    this->is_draining = body.value("drain", this->is_draining);
    return json_response({{"ok", true}});
}

wire::http_response engine::handle_order(const json& body) {
    const auto token = body.value("token", std::uint64_t{0});
    if (this->options.rejects_stale_orders && token < this->max_order_token) {
        ++this->counters.stale_orders;
        return json_response({{"error", "old token"}}, 409);
    }
    this->max_order_token = std::max(this->max_order_token, token);
    this->role = body.value("role", this->role);
    return json_response({{"role", this->role}});
}

json engine::current_load() const {
    return {{"num_requests_running", this->decodes.active_count()},
            {"num_requests_waiting", this->decodes.waiting_count()},
            {"max_num_seqs", this->options.decode_slots},
            {"num_prompt_tokens_waiting", this->prefills.queued_tokens()},
            {"draining", this->is_draining}};
}

void engine::sample_load(wire::yield_context yield) {
    wire::boot_timer timer(*this->context);
    while (true) {
        this->load_samples.push_back({boot_clock::now(), this->current_load()});
        while (this->load_samples.size() > 1 &&
               boot_clock::now() - this->load_samples[1].at >= this->options.load_report_delay)
            this->load_samples.pop_front();
        timer.expires_after(load_sample_interval);
        wire::error_code ignored;
        timer.async_wait(yield[ignored]);
    }
}

json engine::reported_load() {
    json load = this->load_samples.empty() ? this->current_load() : this->load_samples.front().load;
    // Only measured load is delayed; an engine reports at once that it is draining.
    load["draining"] = this->is_draining;
    return load;
}

json engine::counters_json() const {
    auto request_ids = this->prefills.request_ids();
    for (const std::string& id : this->decodes.request_ids())
        request_ids.push_back(id);
    int max_runs = 0;
    int repeated_prompts = 0;
    for (const auto& [prompt_digest, count] : this->runs) {
        max_runs = std::max(max_runs, count);
        repeated_prompts += count > 1 ? 1 : 0;
    }
    return {{"name", this->options.name},
            {"prefill_tokens", this->counters.prefill_tokens},
            {"wasted_prefill_tokens", this->counters.wasted_prefill_tokens},
            {"prefills", this->counters.prefills},
            {"decodes", this->counters.decodes},
            {"completed", this->counters.completed},
            {"tokens", this->counters.tokens},
            {"aborted", this->counters.aborted},
            {"transfers", this->counters.transfers},
            {"lost_kv", this->counters.failed_transfers},
            {"old_orders", this->counters.stale_orders},
            {"role", this->role},
            {"held", request_ids},
            {"runs", this->runs},
            {"most_runs", max_runs},
            {"ran_again", repeated_prompts}};
}

} // namespace postpaddle::stand_in
