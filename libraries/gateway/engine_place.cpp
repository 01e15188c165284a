// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/engine_place.h>

#include <algorithm>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;

/// A waiting request looks again after this time even if nothing woke it.
constexpr base::duration look_again = 50ms;

/// Counts a request among those that wait for as long as it lives.
class waiting_mark {
public:
    waiting_mark(gateway_state& state, base::time_point arrived, wire::asio::steady_timer& timer)
        : state(&state), position(state.waiting.insert(arrived)), timer(&timer) {
        state.waiters.insert(this->timer);
        state.did_change_own_load();
    }
    waiting_mark(const waiting_mark&) = delete;
    waiting_mark(waiting_mark&&) = delete;
    waiting_mark& operator=(const waiting_mark&) = delete;
    waiting_mark& operator=(waiting_mark&&) = delete;
    ~waiting_mark() {
        this->state->waiters.erase(this->timer);
        this->state->waiting.erase(this->position);
        this->state->did_change_own_load();
    }

private:
    gateway_state* state;
    std::multiset<base::time_point>::iterator position;
    wire::asio::steady_timer* timer;
};

int older_waiting(const gateway_request& request, base::time_point now) {
    const gateway_state& state = *request.state;
    const auto own = std::distance(state.waiting.begin(), state.waiting.lower_bound(request.arrived));
    return static_cast<int>(own) + host::older_waiters(state.loads, now - request.arrived, now);
}

decision::admission_facts facts_of(const gateway_request& request, const decision::engine_plan& plan,
                                   const decision::choice_context& context, const decision::prompt_size& size,
                                   bool is_queued) {
    const auto places = decision::count_places(request.state->instances, context, capacity_of(request), size);
    return {.has_room = plan.has_room,
            .free_places = places.free,
            .total_places = places.total,
            .older_waiting = older_waiting(request, context.now),
            .hold = base::from_seconds(request.state->hold_seconds.value),
            .is_queued = is_queued,
            .latency_target = request.route->latency_target,
            .expected_start = plan.expected_first_event};
}

} // namespace

settings::engine_capacity capacity_of(const gateway_request& request) {
    const settings::service_entry* const service = service_of(request);
    return service != nullptr && service->engine ? *service->engine : settings::engine_capacity{};
}

place_result await_engine_place(gateway_request& request, const decision::prompt_size& size,
                                wire::yield_context yield) {
    gateway_state& state = *request.state;
    std::optional<wire::asio::steady_timer> timer;
    std::optional<waiting_mark> mark;
    while (time_left(request) > 0ms && !request.cancellation->is_caller_gone) {
        const decision::choice_context context = choice_context_of(request);
        const auto plan =
            decision::choose_engines(state.instances, context, capacity_of(request), size, state.random);
        if (!plan)
            return {};
        switch (decision::admit_to_engines(facts_of(request, *plan, context, size, mark.has_value()))) {
        case decision::admission::start:
            return {.plan = plan};
        case decision::admission::refuse:
            return {.plan = std::nullopt, .reason = "no place in time"};
        case decision::admission::wait:
            break;
        }
        if (!mark) {
            timer.emplace(*state.context);
            mark.emplace(state, request.arrived, *timer);
            state.figures->count("waited_for_place_total");
        }
        timer->expires_after(look_again);
        wire::error_code ignored;
        timer->async_wait(yield[ignored]);
    }
    return {.plan = std::nullopt, .reason = "no place before the deadline"};
}

} // namespace postpaddle::gateway
