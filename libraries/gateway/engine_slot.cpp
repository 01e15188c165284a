// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/engine_slot.h>

#include <gateway/request_quarantine.h>
#include <gateway/send_slot_queue.h>
#include <gateway/waiting_entry.h>

#include <algorithm>
#include <cmath>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;

/// Recheck interval of a waiting request that nothing has woken: ejected engines may be usable again, or the
/// request may have timed out.
constexpr base::duration recheck_interval = 200ms;
/// With more than this multiple of the free slots (plus a constant) waiting ahead, there is no room, and the
/// memory of each waiting request need not be reserved.
constexpr double max_waiting_per_free_slot = 3;
constexpr double max_waiting_base = 8;

/// What the queue needs to know of a request, whether it waits already or not.
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

/// Rank and share follow settings that come into force while the request waits. Must follow
/// `reason_to_stop`, which finds the organisation that owns the request's key in these settings.
void update_order(gateway_request& request) {
    const auto& newest = request.state->settings;
    if (!newest || newest == request.settings)
        return;
    const settings::organisation_entry* organisation = request.organisation;
    const auto& organisations = newest->document.value->organisations;
    const auto owner = organisations.find(request.routed.organisation);
    if (request.needs_key && owner != organisations.end())
        organisation = &owner->second;
    request.rank =
        rank_in_newer(*newest, request.service, organisation, *request.route, request.state->process->policy);
    request.share_key = host::key_of(request.service, request.routed.organisation);
}

/// Candidate engines for a request and the facts that decide on its admission.
struct slot_candidate {
    decision::engine_plan plan;
    decision::admission_facts facts;
    nlohmann::json share; ///< For the log: the share on which its position in the queue is based, or null.
};

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

std::optional<slot_candidate> find_slot(const gateway_request& request, const decision::prompt_size& size,
                                        scoped_waiting_entry* entry) {
    gateway_state& state = *request.state;
    const settings::gateway_policy& policy = state.process->policy;
    const settings::engine_capacity capacity = capacity_of(request);
    decision::choice_context context = choice_context_of(request);
    auto plan = decision::choose_engines(state.instances, context, capacity, size, state.random);
    if (!plan)
        return std::nullopt;
    const base::duration in_time =
        decision::max_wait_on_time(request.route->latency_target, plan->expected_first_event);
    if (entry != nullptr)
        entry->update({.in_time = in_time, .rank = request.rank, .share_key = request.share_key});
    const auto slots = decision::count_decode_slots(state.instances, context, capacity, size);
    waiting_request waiting = waiting_request_of(request, size);
    waiting.in_time = in_time;
    const ordered_waiters& waiters =
        ordered_waiters_of(state, request.service, {.total = slots.total_memory, .free = slots.free_memory});
    const decision::local_waiter own = local_waiter_of(state, waiting, waiters.made_at);
    const auto ahead = waiters.queue->waiters_ahead(own);
    const bool is_ordered = !waiters.queue->order().is_by_age();
    bool has_room = plan->has_room && slots.free_now > static_cast<double>(ahead.size());
    const bool is_queue_too_long =
        static_cast<double>(ahead.size()) > max_waiting_per_free_slot * slots.free_now + max_waiting_base;
    if (policy.reserve_in_order && !ahead.empty() && !is_queue_too_long) {
        context.reserved = decision::reserve_memory(state.instances, context, capacity, ahead);
        plan = decision::choose_engines(state.instances, context, capacity, size, state.random);
        has_room = plan->has_room;
    }
    const double alone_seconds = decision::unqueued_prefill_seconds(context.speed, size.prompt_tokens);
    const base::duration prefill_queue =
        plan->prefill ? plan->expected_prefill - base::from_seconds(alone_seconds) : base::duration{};
    const decision::admission_facts facts = {
        .has_room = has_room,
        .free_slots = slots.free,
        .total_slots = slots.total,
        .waiting_ahead = static_cast<int>(ahead.size()),
        .overtaken_ahead = static_cast<int>(waiters.queue->count_overtaken_ahead(own)),
        .hold = base::from_seconds(decision::hold_seconds(profile_of(request), capacity.tokens_per_event)),
        .is_late = policy.defer_late_prompts && own.waited > own.in_time,
        .prompt_queue = std::max(base::duration{}, prefill_queue),
        .in_time = in_time,
        .will_retry =
            policy.refuse_early && request.first_try == request.arrived && !request.routed.resume_after,
        .is_queued = entry != nullptr,
        .waited = context.now - request.arrived,
        .max_wait = waiting.max_wait,
        .is_ordered = is_ordered};
    return slot_candidate{*plan, facts, share_facts(*waiters.queue, own)};
}

bool has_organisations(const gateway_state& state) {
    return state.settings != nullptr && !state.settings->document.value->organisations.empty();
}

/// Records the facts behind the admission decision for the request's log line.
void record_slot_facts(gateway_request& request, const slot_candidate& candidate) {
    const decision::admission_facts& facts = candidate.facts;
    request.slot_facts = {{"waited_ms", base::to_milliseconds(facts.waited)},
                          {"has_room", facts.has_room},
                          {"free", facts.free_slots},
                          {"total", facts.total_slots},
                          {"waiting_ahead", facts.waiting_ahead},
                          {"expected_wait_ms", base::to_milliseconds(decision::expected_wait(facts))},
                          {"rank", request.rank},
                          {"hosts_heard", request.state->loads.by_host.size()}};
    if (!candidate.share.is_null())
        request.slot_facts["share"] = candidate.share;
}

/// Counts a decision on a slot by rank, and refusals by reason.
void count_decision(const gateway_request& request, const char* name, const char* reason = nullptr) {
    std::string labels = "{rank=\"" + std::to_string(request.rank) + "\"";
    if (reason != nullptr)
        labels += std::string(",reason=\"") + reason + "\"";
    request.state->metrics->count(name + labels + "}");
}

/// Why a request without a slot in time is refused: it is beyond its organisation's share, it has waited for
/// as long as it may, or too many requests are ahead.
const char* refusal_reason(const slot_candidate& candidate) {
    if (!candidate.share.is_null() && candidate.share["is_beyond"].get<bool>())
        return "beyond_share";
    return candidate.facts.is_queued ? "waited_too_long" : "too_many_ahead";
}

} // namespace

settings::engine_capacity capacity_of(const gateway_request& request) {
    const settings::service_entry* const service = service_of(request);
    return service != nullptr && service->engine ? *service->engine : settings::engine_capacity{};
}

engine_slot_result await_engine_slot(gateway_request& request, const decision::prompt_size& size,
                                     wire::yield_context yield) {
    gateway_state& state = *request.state;
    std::optional<wire::boot_timer> timer;
    std::optional<scoped_waiting_entry> waiting_entry;
    request.share_use.reset();
    while (time_left(request) > 0ms && !request.cancellation->is_caller_gone) {
        if (const char* const stop = reason_to_stop(request))
            return {.plan = std::nullopt, .reason = stop};
        update_order(request);
        const auto candidate = find_slot(request, size, waiting_entry ? &*waiting_entry : nullptr);
        if (!candidate && !await_send_slot(request, yield))
            return {};
        if (!candidate)
            continue;
        record_slot_facts(request, *candidate);
        decision::admission admission = decision::admit_to_engines(candidate->facts);
        // If no known engine has room, ask hosts of other cells before refusing.
        if (!candidate->facts.has_room && state.try_query_other_cells() &&
            admission == decision::admission::refuse)
            admission = decision::admission::wait;
        switch (admission) {
        case decision::admission::start:
            count_decision(request, "slot_admissions_total");
            // Without organisations nobody uses shares, and each change would cost a report.
            if (has_organisations(state))
                request.share_use.emplace(state, request.share_key, size.prompt_tokens + size.output_tokens);
            return {.plan = candidate->plan};
        case decision::admission::refuse:
            count_decision(request, "slot_refusals_total", refusal_reason(*candidate));
            request.time_until_slot = decision::slot_retry_delay(candidate->facts, state.random);
            return {.plan = std::nullopt, .reason = "no place in time"};
        case decision::admission::wait:
            break;
        }
        if (!waiting_entry) {
            timer.emplace(*state.context);
            waiting_request waiting = waiting_request_of(request, size);
            waiting.wake = &*timer;
            waiting.in_time = candidate->facts.in_time;
            waiting_entry.emplace(state, waiting);
            count_decision(request, "slot_waits_total");
            state.metrics->count("waited_for_place_total");
        }
        timer->expires_after(recheck_interval);
        wire::error_code ignored;
        timer->async_wait(yield[ignored]);
    }
    if (!request.cancellation->is_caller_gone)
        count_decision(request, "slot_refusals_total", "deadline");
    return {.plan = std::nullopt, .reason = "no place before the deadline"};
}

} // namespace postpaddle::gateway
