// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/engine_slots/engine_slot.h>

#include <gateway/engine_slots/slot_candidate.h>
#include <gateway/forwarding/forwarding_sender.h>
#include <gateway/plain/send_slot_queue.h>
#include <gateway/quarantine/request_quarantine.h>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;

/// Recheck interval of a waiting request that nothing has woken: ejected engines may be usable again, or the
/// request may have timed out.
constexpr base::duration recheck_interval = 200ms;

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

/// The decision on a request with these candidate engines.
decision::admission decide(gateway_state& state, const slot_candidate& candidate) {
    const decision::admission admission = decision::admit_to_engines(candidate.facts);
    // If no known engine has room, ask hosts of other cells before refusing.
    if (!candidate.facts.has_room && state.try_query_other_cells() &&
        admission == decision::admission::refuse)
        return decision::admission::wait;
    return admission;
}

engine_slot_result start(gateway_request& request, const decision::prompt_size& size,
                         const slot_candidate& candidate) {
    count_decision(request, "slot_admissions_total");
    // Without organisations nobody uses shares, and each change would cost a report.
    if (has_organisations(*request.state))
        request.share_use.emplace(*request.state, request.share_key, size.prompt_tokens + size.output_tokens);
    return {.plan = candidate.plan};
}

engine_slot_result refuse(gateway_request& request, const slot_candidate& candidate) {
    count_decision(request, "slot_refusals_total", refusal_reason(candidate));
    request.time_until_slot = decision::slot_retry_delay(candidate.facts, request.state->random);
    return {.plan = std::nullopt, .reason = "no place in time"};
}

/// A request's entry among the waiting ones, and what wakes it.
struct slot_wait {
    std::optional<wire::boot_timer> timer;
    std::optional<scoped_waiting_entry> entry;

    /// Null until the request waits.
    [[nodiscard]] scoped_waiting_entry* entry_or_null() { return this->entry ? &*this->entry : nullptr; }
};

void begin_wait(slot_wait& wait, const gateway_request& request, const decision::prompt_size& size,
                const slot_candidate& candidate) {
    gateway_state& state = *request.state;
    wait.timer.emplace(*state.context);
    waiting_request waiting = waiting_request_of(request, size);
    waiting.wake = &*wait.timer;
    waiting.request = &request;
    waiting.in_time = candidate.facts.in_time;
    wait.entry.emplace(state, waiting);
    count_decision(request, "slot_waits_total");
    state.metrics->count("waited_for_place_total");
}

/// Waits until the request is woken or has to be checked again.
void await_wake(slot_wait& wait, wire::yield_context yield) {
    wait.timer->expires_after(recheck_interval);
    wire::error_code ignored;
    wait.timer->async_wait(yield[ignored]);
}

} // namespace

settings::engine_capacity capacity_of(const gateway_request& request) {
    const settings::service_entry* const service = service_of(request);
    return service != nullptr && service->engine ? *service->engine : settings::engine_capacity{};
}

std::optional<decision::engine_plan> find_free_engine_slot(const gateway_request& request,
                                                           const decision::prompt_size& size) {
    const auto candidate = find_slot(request, size, nullptr);
    if (!candidate || decision::admit_to_engines(candidate->facts) != decision::admission::start)
        return std::nullopt;
    return candidate->plan;
}

engine_slot_result await_engine_slot(gateway_request& request, const decision::prompt_size& size,
                                     wire::yield_context yield) {
    slot_wait wait;
    request.share_use.reset();
    while (time_left(request) > 0ms && !request.cancellation->is_caller_gone) {
        if (const char* const stop = reason_to_stop(request))
            return {.plan = std::nullopt, .reason = stop};
        if (should_forward(request))
            return {.plan = std::nullopt, .reason = "the service can't be reached from this host"};
        update_order(request);
        const auto candidate = find_slot(request, size, wait.entry_or_null());
        if (!candidate && !await_send_slot(request, yield))
            return {};
        if (!candidate)
            continue;
        record_slot_facts(request, *candidate);
        switch (decide(*request.state, *candidate)) {
        case decision::admission::start:
            return start(request, size, *candidate);
        case decision::admission::refuse:
            return refuse(request, *candidate);
        case decision::admission::wait:
            break;
        }
        if (!wait.entry)
            begin_wait(wait, request, size, *candidate);
        await_wake(wait, yield);
    }
    if (!request.cancellation->is_caller_gone)
        count_decision(request, "slot_refusals_total", "deadline");
    return {.plan = std::nullopt, .reason = "no place before the deadline"};
}

} // namespace postpaddle::gateway
