// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/plain/plain_choice.h>

#include <gateway/plain/upstream_load_exchange.h>

#include <utility>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;

/// Time after which the upstreams of a service are listed again, so that not each decision scans all
/// instances. New upstreams get requests that much later; changes of those that are listed apply at once.
constexpr base::duration member_lifetime = 20ms;
/// Time without decisions after which an overload is assumed to have ended.
constexpr base::duration overload_gap = 1s;

/// The service with the upstreams that it has. They are listed again after a short time.
plain_service& plain_service_of(gateway_state& state, const std::string& name) {
    plain_service& service = state.plain_services[name];
    const base::time_point now = state.clock->now();
    if (std::exchange(service.is_listed, true) && now - service.listed_at < member_lifetime)
        return service;
    service.members = decision::members_of(state.instances, name);
    service.listed_at = now;
    return service;
}

/// Records whether a decision saw a free slot, which ends an overload.
void record_free_slots(plain_service& service, int free_slots, base::time_point now) {
    if (now - std::exchange(service.decided_at, now) > overload_gap)
        service.free_slot_seen_at = now;
    // A slot that is free for a moment does not end it, several in a row do.
    if (free_slots > 0)
        service.free_slot_seen_at += (now - service.free_slot_seen_at) / 2;
}

/// How long an overload has lasted.
base::duration busy_for(const plain_service& service, base::time_point now) {
    return now - service.decided_at > overload_gap ? base::duration{} : now - service.free_slot_seen_at;
}

decision::plain_request facts_of(const gateway_request& request, const plain_service& service) {
    return {.waited = request.state->clock->now() - waiting_since(request),
            .latency_target = request.route->latency_target,
            .time_left = time_left(request),
            .may_be_late = decision::may_be_late(request.record, request.first_try < request.arrived),
            .may_wait_late = !request.state->is_draining,
            .busy_for = busy_for(service, request.state->clock->now()),
            .competing_hosts = count_competing_hosts(*request.state)};
}

/// Records the facts behind the decision for the request's log line.
void record_facts(gateway_request& request, const decision::plain_request& facts,
                  const decision::plain_decision& decision) {
    request.slot_facts = {{"decision", decision::to_text(decision.action)},
                          {"reason", decision::to_text(decision.reason)},
                          {"rank", request.rank},
                          {"waited_ms", base::to_milliseconds(facts.waited)},
                          {"may_be_late", facts.may_be_late},
                          {"waiting_ahead", decision.ahead},
                          {"upstreams", decision.upstreams},
                          {"free", decision.free_slots},
                          {"expected_ms", base::to_milliseconds(decision.expected_time)},
                          {"expected_wait_ms", base::to_milliseconds(decision.expected_wait)},
                          {"competing_hosts", facts.competing_hosts}};
}

const char* counter_of(decision::plain_action action) {
    switch (action) {
    case decision::plain_action::wait:
        return "plain_waited_total";
    case decision::plain_action::refuse:
        return "plain_refused_total";
    default:
        return "plain_admitted_total";
    }
}

} // namespace

bool is_admitted_by_load(const gateway_request& request) {
    return request.state->process->policy.admit_by_load &&
           decision::is_admitted_by_load(request.state->instances, request.service,
                                         plain_members_of(*request.state, request.service));
}

const std::vector<base::upstream_id>& plain_members_of(gateway_state& state, const std::string& service) {
    return plain_service_of(state, service).members;
}

decision::plain_decision look_by_load(const gateway_request& request) {
    gateway_state& state = *request.state;
    const plain_service& service = plain_service_of(state, request.service);
    return decision::decide_plain(state.instances, service.members, choice_context_of(request),
                                  facts_of(request, service), state.random, {});
}

decision::plain_decision decide_by_load(gateway_request& request,
                                        const decision::ahead_counter& count_ahead) {
    gateway_state& state = *request.state;
    plain_service& service = plain_service_of(state, request.service);
    const decision::plain_request facts = facts_of(request, service);
    decision::plain_decision decision = decision::decide_plain(
        state.instances, service.members, choice_context_of(request), facts, state.random, count_ahead);
    request.retry_delay = std::nullopt;
    if (decision.action == decision::plain_action::choose_without_load)
        return decision;
    record_free_slots(service, decision.free_slots, state.clock->now());
    record_facts(request, facts, decision);
    if (decision.action != decision::plain_action::send)
        did_hold_plain_request(state);
    if (decision.action == decision::plain_action::refuse)
        request.retry_delay = decision::plain_retry_delay(decision, facts, state.random);
    return decision;
}

decision::queue_position queue_position_of(const gateway_request& request, base::duration in_time) {
    const base::time_point since = waiting_since(request);
    return {.since = since,
            .in_time_until = since + in_time,
            .latency_target = request.route->latency_target,
            .rank = request.state->process->policy.order_by_rank ? request.rank : 0};
}

void count_decision(const gateway_request& request, const decision::plain_decision& decision) {
    request.state->metrics->count(std::string(counter_of(decision.action)) + "{rank=\"" +
                                  std::to_string(request.rank) + "\",reason=\"" +
                                  decision::to_text(decision.reason) + "\"}");
}

} // namespace postpaddle::gateway
