// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/streams/stream_progress.h>

#include <decision/stream_rules.h>
#include <gateway/engine_slots/engine_slot.h>

#include <algorithm>

namespace postpaddle::gateway {

namespace {

/// Maximum number of times a request's prompt is sent to prefill engines.
constexpr int max_prefills = 2;

} // namespace

bool may_send_prompt(const stream_progress& progress) {
    return !progress.has_started && progress.prompts_sent < max_prefills;
}

double memory_of(const gateway_request& request, const stream_progress& progress) {
    // Include the events received before a resume: the engine processes them together with the prompt.
    const settings::engine_capacity capacity = capacity_of(request);
    const double max_events = request.routed.output_tokens / std::max(1, capacity.tokens_per_event);
    const double events_before_resume =
        std::min(max_events, static_cast<double>(request.routed.resume_after.value_or(0)));
    return decision::memory_for_stream(capacity, progress.size,
                                       static_cast<int>(events_before_resume) + progress.events_forwarded);
}

base::duration time_for_rest(const gateway_request& request, const stream_progress& progress) {
    const double events = progress.size.output_tokens / std::max(1, capacity_of(request).tokens_per_event);
    return base::from_seconds(std::max(0.0, events - progress.events_forwarded) *
                              profile_of(request).event_seconds.value);
}

} // namespace postpaddle::gateway
