// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/endings/request_drain.h>

#include <gateway/endings/open_request.h>
#include <gateway/engine_slots/engine_slot.h>

#include <algorithm>
#include <utility>

namespace postpaddle::gateway {

namespace {

/// Streams that must have been timed before a stream's time is reckoned from theirs.
constexpr int min_streams_timed = 8;
/// By how much a stream may be slower than the mean of its service.
constexpr double pace_margin = 1.25;

/// Lets a request that waits decide again.
void wake(const gateway_request& request) {
    if (request.cancellation->wait_timer != nullptr)
        request.cancellation->wait_timer->cancel();
    for (const waiting_request* const waiting : request.state->waiting)
        if (waiting->request == &request && waiting->wake != nullptr)
            waiting->wake->cancel();
}

bool has_response(const gateway_request& request) {
    return request.connection->progress() != wire::response_progress::none;
}

/// Longest time that a request is expected to take from its send to its end, as far as that is known of its
/// service: that of all the tokens that its caller allows, or that of the service's plain responses. Most
/// requests are shorter, but one that isn't would be broken off.
std::optional<base::duration> longest_expected_time(const gateway_request& request) {
    const decision::service_profile& profile = profile_of(request);
    if (profile.streams_timed < min_streams_timed || request.routed.output_tokens <= 0)
        return decision::longest_response(profile.responses);
    const double events = request.routed.output_tokens / std::max(1, capacity_of(request).tokens_per_event);
    const double seconds = profile.speed.first_event.value + events * profile.event_seconds.value;
    return base::from_seconds(seconds * pace_margin);
}

/// Longest time that a request may take: as long as its caller waits, unless less is expected.
base::duration longest_time(const gateway_request& request) {
    const base::time_point end = request.deadline_before_drain.value_or(request.deadline);
    const base::duration longest = end - request.state->clock->now();
    return std::min(longest, longest_expected_time(request).value_or(longest));
}

/// Lets a request's pause be ended for as long as the object lives.
class scoped_wait_timer {
public:
    scoped_wait_timer(std::shared_ptr<request_cancellation> cancellation, wire::boot_timer& timer)
        : cancellation(std::move(cancellation)),
          previous(std::exchange(this->cancellation->wait_timer, &timer)) {}
    scoped_wait_timer(const scoped_wait_timer&) = delete;
    scoped_wait_timer(scoped_wait_timer&&) = delete;
    scoped_wait_timer& operator=(const scoped_wait_timer&) = delete;
    scoped_wait_timer& operator=(scoped_wait_timer&&) = delete;
    ~scoped_wait_timer() { this->cancellation->wait_timer = this->previous; }

private:
    std::shared_ptr<request_cancellation> cancellation;
    wire::boot_timer* previous;
};

} // namespace

void begin_drain(gateway_state& state, const decision::drain_schedule& schedule) {
    state.is_draining = true;
    state.drain = schedule;
    for (open_request* const open : state.open_requests) {
        limit_to_drain(open->request());
        wake(open->request());
    }
}

void limit_to_drain(gateway_request& request) {
    const auto& drain = request.state->drain;
    // A response that has begun may use the time until the end.
    if (!drain || has_response(request) || request.deadline <= drain->answer_by)
        return;
    request.deadline_before_drain = request.deadline;
    request.deadline = drain->answer_by;
}

void did_begin_response(gateway_request& request) {
    if (const auto before = std::exchange(request.deadline_before_drain, std::nullopt))
        request.deadline = std::min(*before, request.state->drain->end);
}

bool is_beyond_drain(const gateway_request& request) {
    const auto& drain = request.state->drain;
    const bool is_unsent = request.record.attempts == 0 && request.record.prompts == 0;
    return drain && is_unsent && request.state->clock->now() + longest_time(request) >= drain->answer_by;
}

base::duration attempt_time(const gateway_request& request) {
    const base::duration left = time_left(request);
    const base::duration usual = decision::attempt_timeout(request.record, left);
    if (!request.deadline_before_drain)
        return usual;
    return std::max(usual, std::min(left, longest_expected_time(request).value_or(usual)));
}

bool is_wait_over(const gateway_request& request) {
    // Without a deadline the request is still being read and checked.
    const bool has_deadline = request.deadline != base::time_point{};
    return request.cancellation->is_own() || (has_deadline && time_left(request) <= base::duration::zero());
}

void pause_request(const gateway_request& request, base::duration pause, wire::yield_context yield) {
    wire::boot_timer timer(*request.state->context, pause);
    const scoped_wait_timer is_paused(request.cancellation, timer);
    wire::error_code ignored;
    timer.async_wait(yield[ignored]);
}

void end_unanswered(gateway_state& state) {
    for (open_request* const open : state.open_requests) {
        const gateway_request& request = open->request();
        if (has_response(request))
            continue;
        request.cancellation->is_host_stopping = true;
        wake(request);
        if (request.cancellation->connection)
            request.cancellation->connection->cancel();
    }
}

} // namespace postpaddle::gateway
