// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/forwarding/forwarding_sender.h>
#include <gateway/plain/send_slot_queue.h>

#include <gateway/plain/plain_choice.h>
#include <gateway/plain/upstream_load_exchange.h>
#include <gateway/quarantine/request_quarantine.h>

#include <algorithm>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;

/// Recheck interval: upstreams may have been added or limits lifted. The head of the queue rechecks more
/// often, since it wakes those behind it.
constexpr base::duration recheck_interval = 200ms;
constexpr base::duration head_recheck_interval = 50ms;
/// Recheck interval where upstreams report their load, for requests that are not first in line. They decide
/// only once they are late, as each decision costs CPU time and small hosts have a tenth of a core.
constexpr base::duration load_recheck_interval = 200ms;
/// Minimum pause between checks, however soon the slot is due.
constexpr base::duration min_pause = 5ms;
/// Fraction of the remaining time that may be spent waiting; the rest is left for the answer.
constexpr double max_wait_fraction = 0.75;

/// Waiters ahead of that position; with `due_by`, only those that may be sent by then.
int count_waiters(const send_slot_queue& queue, const decision::queue_position& position,
                  base::time_point now, base::time_point due_by = base::time_point::max()) {
    return static_cast<int>(std::ranges::count_if(queue.waiters, [&](const send_slot_waiter* waiter) {
        return waiter->due <= due_by && decision::is_ahead(waiter->position, position, now);
    }));
}

/// Wakes the head of the queue and, if that one may not be sent yet, also the first one that may.
void wake_head(const send_slot_queue& queue, base::time_point now) {
    const send_slot_waiter* head = nullptr;
    const send_slot_waiter* first_due = nullptr;
    for (const send_slot_waiter* const waiter : queue.waiters) {
        const auto is_before = [&](const send_slot_waiter* other) {
            return other == nullptr || decision::is_ahead(waiter->position, other->position, now);
        };
        if (is_before(head))
            head = waiter;
        if (waiter->due <= now && is_before(first_due))
            first_due = waiter;
    }
    if (head != nullptr)
        head->wake->cancel();
    if (first_due != nullptr && first_due != head)
        first_due->wake->cancel();
}

/// Queue entry of a request for as long as the object lives. Its wait ends when the caller disconnects. Wakes
/// the head of the queue when it leaves.
class queue_entry {
public:
    queue_entry(const gateway_request& request, send_slot_queue& queue, wire::boot_timer& timer)
        : state(request.state), cancellation(request.cancellation),
          queue(&queue), waiter{.wake = &timer, .request = &request} {
        queue.waiters.push_back(&this->waiter);
        this->cancellation->wait_timer = &timer;
    }
    queue_entry(const queue_entry&) = delete;
    queue_entry(queue_entry&&) = delete;
    queue_entry& operator=(const queue_entry&) = delete;
    queue_entry& operator=(queue_entry&&) = delete;
    ~queue_entry() {
        this->cancellation->wait_timer = nullptr;
        std::erase(this->queue->waiters, &this->waiter);
        wake_head(*this->queue, this->state->clock->now());
    }

    void update(base::time_point due, const decision::queue_position& position) {
        this->waiter.due = due;
        this->waiter.position = position;
    }
    [[nodiscard]] int ahead() const {
        return count_waiters(*this->queue, this->waiter.position, this->state->clock->now());
    }
    /// Returns whether no request ahead of it has a slot that is due.
    [[nodiscard]] bool is_first() const {
        const base::time_point now = this->state->clock->now();
        return count_waiters(*this->queue, this->waiter.position, now, now) == 0;
    }
    [[nodiscard]] bool is_late() const {
        return this->state->clock->now() > this->waiter.position.in_time_until;
    }
    /// Returns whether this request's slot is due and no request ahead of it has one.
    [[nodiscard]] bool is_due() const {
        return this->waiter.due <= this->state->clock->now() && this->is_first();
    }
    /// Until a request that is not first in line checks its own deadline.
    [[nodiscard]] base::duration pause_behind() const {
        if (this->is_late())
            return load_recheck_interval;
        return std::clamp<base::duration>(this->waiter.position.in_time_until - this->state->clock->now(),
                                          min_pause, load_recheck_interval);
    }
    void wake_next() const { wake_head(*this->queue, this->state->clock->now()); }

private:
    const gateway_state* state;
    std::shared_ptr<request_cancellation> cancellation;
    send_slot_queue* queue;
    send_slot_waiter waiter;
};

/// Requests of its service that are ahead of one at that position.
int count_ahead(const gateway_request& request, const decision::queue_position& position) {
    const auto queue = request.state->send_slot_queues.find(request.service);
    return queue == request.state->send_slot_queues.end()
               ? 0
               : count_waiters(queue->second, position, request.state->clock->now());
}

/// Result of a check whether a queued request may be sent.
struct queue_check {
    bool is_worth_waiting = true;
    bool may_send = false;
    base::time_point due{};
    base::duration pause{}; ///< Until the next check.
    std::optional<decision::plain_decision> by_load{};
    bool is_load_expired = false; ///< Requests are admitted by load, but no load is known now.
};

std::optional<decision::send_slots> next_slot(const gateway_request& request) {
    return decision::next_send_slot(request.state->instances, choice_context_of(request));
}

/// Checks the upstreams' rate limits. Stores the expected wait in the request.
queue_check check_limits(gateway_request& request, int ahead) {
    const auto slot = next_slot(request);
    if (!slot)
        return {.is_worth_waiting = false};
    const base::time_point now = request.state->clock->now();
    request.time_until_slot = slot->first + slot->spacing * ahead - now;
    return {.is_worth_waiting = base::to_seconds(request.time_until_slot) <=
                                max_wait_fraction * base::to_seconds(time_left(request)),
            .may_send = true,
            .due = slot->first,
            .pause = std::clamp<base::duration>(request.time_until_slot, min_pause,
                                                ahead == 0 ? head_recheck_interval : recheck_interval)};
}

/// What a decision by load means for a queued request.
queue_check check_of(const gateway_request& request, const decision::plain_decision& decision) {
    gateway_state& state = *request.state;
    queue_check result = {.is_worth_waiting = decision.action != decision::plain_action::refuse,
                          .may_send = decision.action == decision::plain_action::send,
                          .due = {},
                          .pause = decision::plain_recheck_delay(decision, state.random),
                          .by_load = decision};
    // Others may use an upstream that this request may not use, or has been refused by.
    const bool is_restricted = !request.tried.empty() || placement_limits_of(request).allowed_zones;
    if (is_restricted && !result.may_send)
        result.due = state.clock->now() + result.pause;
    return result;
}

/// What a decision by load, or the upstreams' rate limits where no load is known, mean for a queued request.
queue_check check_of_load_or_limits(gateway_request& request, const decision::plain_decision& decision,
                                    int ahead_without_load) {
    if (decision.action != decision::plain_action::choose_without_load)
        return check_of(request, decision);
    queue_check result = check_limits(request, ahead_without_load);
    result.is_load_expired = true;
    return result;
}

/// Checks the upstreams' load, or their rate limits where it is not known.
queue_check check(gateway_request& request, int ahead) {
    if (!is_admitted_by_load(request))
        return check_limits(request, ahead);
    const auto count = [ahead](base::duration /*in_time*/) { return ahead; };
    return check_of_load_or_limits(request, decide_by_load(request, count), ahead);
}

/// The first check, before the request is queued. `last` is its position if no load is known.
queue_check check_on_arrival(gateway_request& request, const decision::queue_position& last) {
    const int ahead = count_ahead(request, last);
    if (!is_admitted_by_load(request))
        return check_limits(request, ahead);
    return check_of_load_or_limits(request, decide_in_queue(request), ahead);
}

/// Counts that a request begins to wait.
void count_wait(const gateway_request& request, const queue_check& checked) {
    request.state->metrics->count("waited_for_opening_total");
    if (checked.by_load && checked.by_load->action == decision::plain_action::wait)
        count_decision(request, *checked.by_load);
}

bool may_wait(gateway_request& request) {
    return time_left(request) > 0ms && !request.cancellation->is_caller_gone &&
           reason_to_stop(request) == nullptr && !should_forward(request);
}

/// Counts a refusal because of the upstreams' load.
bool give_up(const gateway_request& request, const queue_check& last) {
    if (last.by_load)
        count_decision(request, *last.by_load);
    return false;
}

/// While slots are scarce, this host sends its waiting requests one at a time, at its share of the rate at
/// which slots become free. Once all loads have expired it sends one per interval, until a response shows
/// one.
bool try_release(send_slot_queue& queue, const queue_check& checked, base::time_point now) {
    if (checked.by_load ? !checked.by_load->is_scarce : !checked.is_load_expired)
        return true;
    if (now < queue.next_release)
        return false;
    queue.next_release = now + (checked.by_load ? checked.pause : head_recheck_interval);
    return true;
}

} // namespace

bool would_overtake_queue(const gateway_request& request, const decision::queue_position& position) {
    const gateway_state& state = *request.state;
    const auto queue = state.send_slot_queues.find(request.service);
    const base::time_point now = state.clock->now();
    return queue != state.send_slot_queues.end() && count_waiters(queue->second, position, now, now) > 0;
}

decision::plain_decision decide_in_queue(gateway_request& request) {
    return decide_by_load(request, [&request](base::duration in_time) {
        return count_ahead(request, queue_position_of(request, in_time));
    });
}

void did_end_plain_request(gateway_state& state, const std::string& service) {
    const auto queue = state.send_slot_queues.find(service);
    if (queue == state.send_slot_queues.end() || queue->second.waiters.empty())
        return;
    std::uniform_real_distribution<double> draw(0, 1);
    const double probability = decision::replacement_probability(
        state.instances, service, plain_members_of(state, service), count_competing_hosts(state));
    if (draw(state.random) >= probability)
        return;
    queue->second.next_release = {};
    wake_head(queue->second, state.clock->now());
}

bool await_send_slot(gateway_request& request, wire::yield_context yield,
                     const std::optional<decision::plain_decision>& decided) {
    gateway_state& state = *request.state;
    send_slot_queue& queue = state.send_slot_queues[request.service];
    const decision::queue_position last = decision::last_position(state.clock->now());
    const auto position_after = [&](const queue_check& checked) {
        return checked.by_load ? queue_position_of(request, checked.by_load->in_time) : last;
    };
    queue_check next = decided ? check_of(request, *decided) : check_on_arrival(request, last);
    if (!next.is_worth_waiting)
        return give_up(request, next);
    count_wait(request, next);
    wire::boot_timer timer(*state.context);
    queue_entry entry(request, queue, timer);
    entry.update(next.due, position_after(next));
    while (may_wait(request)) {
        const bool was_first = entry.is_first();
        const base::duration pause = next.by_load && !was_first ? entry.pause_behind() : next.pause;
        timer.expires_after(std::min<base::duration>(pause, time_left(request)));
        wire::error_code ignored;
        timer.async_wait(yield[ignored]);
        if (request.cancellation->is_caller_gone)
            return false;
        const bool is_first = entry.is_first();
        // It has become late, or a more urgent request has come: another one is first in line now.
        if (was_first && !is_first)
            entry.wake_next();
        if (next.by_load && !is_first && !entry.is_late())
            continue;
        // Recompute each time: limits and loads change, and requests ahead may have been sent elsewhere.
        next = check(request, entry.ahead());
        if (!next.is_worth_waiting)
            return give_up(request, next);
        entry.update(next.due, position_after(next));
        if (is_first && !entry.is_first())
            entry.wake_next();
        if (next.may_send && entry.is_due() && try_release(queue, next, state.clock->now()))
            return true;
    }
    return false;
}

} // namespace postpaddle::gateway
