// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/streams/prefill_send.h>

#include <gateway/peers/pace_exchange.h>
#include <gateway/quarantine/request_quarantine.h>
#include <gateway/upstreams/upstream_exchange.h>

namespace postpaddle::gateway {

namespace {

using decision::attempt_result;

/// Limit on the answer to a prefill, which names a handle in some hundred bytes.
constexpr std::size_t max_handle_answer_bytes = 16UL * 1024;

/// Prompt tokens that the engine has yet to process.
double tokens_ahead_at(gateway_state& state, const base::upstream_id& engine) {
    const decision::instance* const target = decision::find_instance(state.instances, engine);
    return target == nullptr ? 0 : decision::pending_prompt_tokens(*target);
}

/// Reads from the engine's answer where the cache can be fetched. An answer that doesn't say so is broken.
void retain_answered(const gateway_request& request, const base::upstream_id& engine,
                     exchange_result& exchange, base::time_point deadline, retained_cache& retained,
                     wire::yield_context yield) {
    if (exchange.result != attempt_result::answered && exchange.result != attempt_result::not_run)
        return;
    const std::string body = read_body(exchange, max_handle_answer_bytes, deadline, yield);
    auto handle = request.state->protocol.read_handle(body);
    if (exchange.result == attempt_result::answered && handle)
        retained.retain({engine, exchange.address, std::move(*handle)});
    else if (exchange.result == attempt_result::answered)
        exchange.result = attempt_result::broken;
}

void record_duration(gateway_request& request, const base::upstream_id& engine,
                     const decision::prefill_sample& sample) {
    gateway_state& state = *request.state;
    decision::instance* const target = decision::find_instance(state.instances, engine);
    if (target == nullptr)
        return;
    record_prefill_pace(request, *target, sample);
    decision::record_prefill(*target, profile_of(request).speed, sample, state.clock->now());
}

} // namespace

bool send_prefill(gateway_request& request, const base::upstream_id& engine,
                  const decision::prompt_size& size, stall_monitor& monitor, retained_cache& retained,
                  wire::yield_context yield) {
    gateway_state& state = *request.state;
    const ports::upstream_attempt send = {
        .instance = engine,
        .purpose = ports::attempt_purpose::prefill,
        .time_left = std::chrono::duration_cast<std::chrono::milliseconds>(time_left(request))};
    const double tokens_ahead = tokens_ahead_at(state, engine);
    scoped_instance_use work(state, engine, {.requests = 1, .prompt_tokens = size.prompt_tokens});
    const base::time_point first_look = monitor.did_progress();
    exchange_result exchange =
        send_to_instance(request, send, {.deadline = first_look, .monitor = &monitor}, yield);
    retain_answered(request, engine, exchange, first_look, retained, yield);
    if (exchange.result != attempt_result::late)
        (void)monitor.did_progress();
    monitor.did_end();
    exchange.stalls = monitor.record();
    work.did_read_prompt();
    end_exchange(request, send, exchange);
    detect_upstream_exit(request, send, exchange, yield);
    if (!retained.has_value()) {
        request.tried.insert(engine);
        return false;
    }
    record_duration(request, engine,
                    {.prompt_tokens = size.prompt_tokens,
                     .tokens_ahead = tokens_ahead,
                     .taken = state.clock->now() - exchange.sent});
    return true;
}

} // namespace postpaddle::gateway
