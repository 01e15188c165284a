// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/engine_slots/slot_candidate.h>

#include <gateway/engine_slots/engine_slot.h>
#include <gateway/engine_slots/slot_order.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace postpaddle::gateway {

namespace {

/// With more than this multiple of the free slots (plus a constant) waiting ahead, there is no room, and the
/// memory of each waiting request need not be reserved.
constexpr double max_waiting_per_free_slot = 3;
constexpr double max_waiting_base = 8;

/// The queue for decode slots, as a request of this host sees it.
struct slot_queue_view {
    decision::decode_slots slots;
    const decision::wait_queue* queue = nullptr; ///< Valid until the queue is asked for again.
    decision::local_waiter own;
    std::vector<decision::waiter> ahead; ///< In queue order.
};

slot_queue_view view_queue(const gateway_request& request, const decision::prompt_size& size,
                           const decision::choice_context& context, const waiting_request& waiting) {
    gateway_state& state = *request.state;
    const auto slots = decision::count_decode_slots(state.instances, context, waiting.capacity, size);
    const ordered_waiters& waiters =
        ordered_waiters_of(state, request.service, {.total = slots.total_memory, .free = slots.free_memory});
    const decision::local_waiter own = local_waiter_of(state, waiting, waiters.made_at);
    return {.slots = slots, .queue = &*waiters.queue, .own = own, .ahead = waiters.queue->waiters_ahead(own)};
}

/// Whether the request goes before those that wait: it continues a stream, which only engines of one software
/// version may do, while new ones may begin elsewhere. Not beyond its organisation's share.
bool goes_first(const gateway_request& request, const slot_queue_view& view) {
    return request.origin && !view.queue->position_of(view.own).is_beyond_share;
}

/// Whether the memory of the requests ahead is reserved in the choice of the engines.
bool reserves_for_those_ahead(const slot_queue_view& view, const settings::gateway_policy& policy) {
    const bool is_queue_too_long = static_cast<double>(view.ahead.size()) >
                                   max_waiting_per_free_slot * view.slots.free_now + max_waiting_base;
    return policy.reserve_in_order && !view.ahead.empty() && !is_queue_too_long;
}

/// How long the prompt waits at its prefill engine for the prompts before it.
base::duration prompt_queue_of(const decision::engine_plan& plan, const decision::engine_speed& speed,
                               const decision::prompt_size& size) {
    if (!plan.prefill)
        return {};
    const double alone_seconds = decision::unqueued_prefill_seconds(speed, size.prompt_tokens);
    return std::max(base::duration{}, plan.expected_prefill - base::from_seconds(alone_seconds));
}

/// Figures of the request's share for the log.
nlohmann::json share_facts(const decision::wait_queue& queue, const decision::local_waiter& own) {
    const decision::fair_shares& shares = queue.order().shares;
    if (!queue.order().by_share)
        return nullptr;
    const double in_use = decision::tokens_in_use(shares, own.share_key);
    // Without a level the capacity satisfies all demands.
    const nlohmann::json level =
        std::isfinite(shares.level) ? nlohmann::json(std::llround(shares.level)) : nlohmann::json();
    return {{"in_use_tokens", std::llround(in_use)},
            {"level_tokens", level},
            {"is_beyond", queue.position_of(own).is_beyond_share}};
}

decision::admission_facts make_facts(const gateway_request& request, const slot_queue_view& view,
                                     const waiting_request& waiting, base::time_point now) {
    const settings::gateway_policy& policy = request.state->process->policy;
    return {.free_slots = view.slots.free,
            .total_slots = view.slots.total,
            .waiting_ahead = static_cast<int>(view.ahead.size()),
            .overtaken_ahead = static_cast<int>(view.queue->count_overtaken_ahead(view.own)),
            .hold = base::from_seconds(
                decision::hold_seconds(profile_of(request), waiting.capacity.tokens_per_event)),
            .is_late = policy.defer_late_prompts && view.own.waited > view.own.in_time,
            .in_time = waiting.in_time,
            .will_retry =
                policy.refuse_early && request.first_try == request.arrived && !request.routed.resume_after,
            .waited = now - request.arrived,
            .max_wait = waiting.max_wait,
            .is_ordered = !view.queue->order().is_by_age()};
}

} // namespace

waiting_request waiting_request_of(const gateway_request& request, const decision::prompt_size& size) {
    return {.first_try = waiting_since(request),
            .memory_tokens = size.prompt_tokens + size.output_tokens,
            .service = request.service,
            .capacity = capacity_of(request),
            .arrived = request.arrived,
            .latency_target = request.route->latency_target,
            .max_wait =
                decision::max_slot_wait(request.route->latency_target, request.deadline - request.arrived),
            .rank = request.rank,
            .share_key = request.share_key};
}

std::optional<slot_candidate> find_slot(const gateway_request& request, const decision::prompt_size& size,
                                        scoped_waiting_entry* entry) {
    gateway_state& state = *request.state;
    decision::choice_context context = choice_context_of(request);
    waiting_request waiting = waiting_request_of(request, size);
    auto plan = decision::choose_engines(state.instances, context, waiting.capacity, size, state.random);
    if (!plan)
        return std::nullopt;
    waiting.in_time = decision::max_wait_on_time(request.route->latency_target, plan->expected_first_event);
    if (entry != nullptr)
        entry->update({.in_time = waiting.in_time, .rank = request.rank, .share_key = request.share_key});
    slot_queue_view view = view_queue(request, size, context, waiting);
    if (goes_first(request, view))
        view.ahead.clear();
    bool has_room = plan->has_room && view.slots.free_now > static_cast<double>(view.ahead.size());
    if (reserves_for_those_ahead(view, state.process->policy)) {
        context.reserved = decision::reserve_memory(state.instances, context, waiting.capacity, view.ahead);
        plan = decision::choose_engines(state.instances, context, waiting.capacity, size, state.random);
        has_room = plan->has_room;
    }
    decision::admission_facts facts = make_facts(request, view, waiting, context.now);
    facts.has_room = has_room;
    facts.prompt_queue = prompt_queue_of(*plan, context.speed, size);
    facts.is_queued = entry != nullptr;
    return slot_candidate{*plan, facts, share_facts(*view.queue, view.own)};
}

} // namespace postpaddle::gateway
