// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/streams/decode_engine_recheck.h>

#include <gateway/engine_slots/engine_slot.h>

#include <vector>

namespace postpaddle::gateway {

namespace {

/// What the other hosts have added at the engine since it was chosen.
std::vector<decision::concurrent_reservation> reservations_since(const gateway_state& state,
                                                                 const decode_reservation& reservation) {
    std::vector<decision::concurrent_reservation> concurrent;
    for (const auto& [host, now] : reported_uses(state, reservation.engine)) {
        const auto before = reservation.uses_when_chosen.find(host);
        const bool was_known = before != reservation.uses_when_chosen.end();
        const decision::instance_use added =
            decision::added_use(was_known ? before->second : decision::instance_use{}, now);
        if (added.requests > 0)
            concurrent.push_back({decision::reservation_order(host, reservation.engine), added});
    }
    return concurrent;
}

bool is_displaced(const gateway_state& state, const decode_reservation& reservation,
                  const decision::instance& target, const settings::engine_capacity& capacity,
                  const std::vector<decision::concurrent_reservation>& concurrent) {
    return decision::is_displaced(
        {.order = decision::reservation_order(state.process->name, reservation.engine),
         .reserved = reservation.use,
         .own = target.own,
         .others = target.others,
         .unreported_tokens = decision::unreported_memory(target, state.clock->now()),
         .concurrent = concurrent},
        capacity);
}

/// Records what was decided, for the log and the metrics.
void record_verdict(gateway_request& request, bool must_leave,
                    const std::optional<decision::engine_plan>& other) {
    auto verdict = decision::recheck_verdict::kept;
    if (must_leave)
        verdict = other ? decision::recheck_verdict::moved : decision::recheck_verdict::none_is_free;
    const std::string text = decision::to_text(verdict);
    request.recheck_facts = {{"verdict", text}};
    if (other)
        request.recheck_facts["moved_to"] = other->decode.value;
    request.state->metrics->count("decode_rechecks_total{verdict=\"" + text + "\"}");
}

} // namespace

bool avoids_wasted_prefills(const gateway_request& request) {
    const settings::gateway_policy& policy = request.state->process->policy;
    if (!policy.recheck_decode_engine)
        return false;
    const settings_in_force& settings = *request.settings;
    const bool shares = policy.share_fairly && !settings.document.value->organisations.empty();
    const bool ranks = policy.order_by_rank && settings.services_with_priorities.contains(request.service);
    // The paces come last: the others need no look at the engines.
    return shares || ranks ||
           (policy.exchange_pace && decision::has_pace_in_use(request.state->instances, request.service));
}

uses_by_host reported_uses(const gateway_state& state, const base::upstream_id& engine) {
    uses_by_host uses;
    const auto found = state.instances.by_id.find(engine);
    // Only some of the hosts that use an engine of another cell report here.
    if (found == state.instances.by_id.end() || found->second.is_remote)
        return uses;
    const host::instance_key key = host::key_of(engine, found->second.entry.start_time_ms);
    for (const auto& [host, received] : state.loads.by_host)
        if (const auto use = received.report.uses.find(key); use != received.report.uses.end())
            uses[host] = use->second;
    return uses;
}

decode_reservation describe_reservation(gateway_state& state, const decision::engine_plan& plan,
                                        const decision::instance_use& use) {
    const decision::instance* const target = decision::find_instance(state.instances, plan.decode);
    const decision::instance* const source =
        plan.prefill ? decision::find_instance(state.instances, *plan.prefill) : nullptr;
    return {.engine = plan.decode,
            .start_time_ms = target == nullptr ? 0 : target->entry.start_time_ms,
            .use = use,
            .uses_when_chosen = reported_uses(state, plan.decode),
            .source_zone = source == nullptr ? base::zone_id{} : source->entry.availability_zone};
}

std::optional<base::upstream_id> recheck_decode_engine(gateway_request& request,
                                                       const decode_reservation& reservation,
                                                       const decision::prompt_size& size) {
    gateway_state& state = *request.state;
    const decision::instance* const target = decision::find_instance(state.instances, reservation.engine);
    if (target == nullptr)
        return std::nullopt;
    // The new start of the engine has neither this reservation nor the work that was known before.
    if (target->entry.start_time_ms != reservation.start_time_ms) {
        request.recheck_facts = {{"engine", reservation.engine.value}, {"has_restarted", true}};
        return reservation.engine;
    }
    const settings::engine_capacity capacity = capacity_of(request);
    decision::choice_context context = choice_context_of(request);
    // The prompt was read for an engine of this version.
    context.software_version = target->entry.software_version;
    const auto concurrent = reservations_since(state, reservation);
    const bool has_failed = decision::is_avoided(*target, context.now);
    const bool must_leave = has_failed || is_displaced(state, reservation, *target, capacity, concurrent);
    std::optional<decision::engine_plan> other;
    if (must_leave)
        other = decision::choose_free_decode(state.instances, context, capacity, size, reservation.engine,
                                             reservation.source_zone, state.random);
    record_verdict(request, must_leave, other);
    request.recheck_facts["engine"] = reservation.engine.value;
    request.recheck_facts["requests"] = target->own.requests + target->others.requests;
    request.recheck_facts["free_tokens"] = decision::available_memory(*target, capacity, context.now);
    request.recheck_facts["concurrent_hosts"] = concurrent.size();
    if (has_failed)
        request.recheck_facts["has_failed"] = true;
    return other ? std::optional(other->decode) : std::nullopt;
}

} // namespace postpaddle::gateway
