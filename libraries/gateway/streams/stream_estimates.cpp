// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/streams/stream_estimates.h>

#include <decision/stream_rules.h>
#include <gateway/engine_slots/engine_slot.h>
#include <gateway/peers/pace_exchange.h>

namespace postpaddle::gateway {

decision::prompt_size record_demand(const gateway_request& request) {
    decision::service_profile& profile = profile_of(request);
    const double output_tokens = decision::expected_output(
        request.routed.output_hint, profile.output_tokens.value, request.routed.output_tokens);
    // Seeds the estimate from the client's hint before any stream has completed.
    decision::add_sample(profile.output_tokens, request.routed.output_hint);
    decision::add_sample(profile.prompt_tokens, request.routed.prompt_tokens);
    return {request.routed.prompt_tokens, output_tokens};
}

void record_event_interval(gateway_request& request, const stream_events& events) {
    if (!request.first_event || events.count < 2 || events.has_stalled)
        return;
    decision::service_profile& profile = profile_of(request);
    const base::time_point first_event_at = request.arrived + *request.first_event;
    const double interval =
        base::to_seconds(request.state->clock->now() - first_event_at) / (events.count - 1);
    // Events before a resume came from another engine, and a few events say little about the engine.
    if (!events.is_resumed && events.count == measured_events)
        record_decode_pace(request, events.engine, interval, first_event_at);
    decision::add_sample(profile.event_seconds, interval);
    ++profile.streams_timed;
}

void record_complete_stream(gateway_request& request, const stream_events& events) {
    decision::service_profile& profile = profile_of(request);
    // A longer stream's interval has been recorded with its first events.
    if (events.count < measured_events)
        record_event_interval(request, events);
    if (request.routed.output_hint <= 0)
        decision::add_sample(profile.output_tokens,
                             static_cast<double>(events.count) * capacity_of(request).tokens_per_event);
}

void record_stream_refusal(const gateway_request& request, const base::upstream_id& engine,
                           const ports::answer_facts& facts, const decision::prompt_size& size,
                           double reserved_tokens) {
    gateway_state& state = *request.state;
    const settings::engine_capacity capacity = capacity_of(request);
    decision::instance* const target = decision::find_instance(state.instances, engine);
    if (target == nullptr || facts.backoff)
        return;
    if (!decision::may_be_full(facts.load, capacity, size)) {
        decision::record_spurious_refusal(*target);
        return;
    }
    if (!state.process->policy.infer_unreported_memory)
        return;
    // This request's reservation still counts as used: add it to get the memory that seemed free.
    const base::time_point now = state.clock->now();
    const double free_tokens = decision::available_memory(*target, capacity, now) + reserved_tokens;
    decision::record_refusal(*target, free_tokens, now);
}

} // namespace postpaddle::gateway
