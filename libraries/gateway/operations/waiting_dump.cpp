// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/operations/waiting_dump.h>

#include <gateway/engine_slots/slot_order.h>
#include <gateway/gateway_request.h>

#include <algorithm>
#include <tuple>

namespace postpaddle::gateway {

namespace {

using nlohmann::json;

/// A request stays in its queue until it is woken, which may be some time after its caller has disconnected.
bool is_shown(const gateway_request* request) {
    return request != nullptr && !request->cancellation->is_caller_gone;
}

/// What the rows of both queues have in common.
json dump_request(const gateway_request& request, base::time_point now) {
    return {{"request", request.routed.id},
            {"organisation", request.routed.organisation.value},
            {"route", request.route->name},
            {"rank", request.rank},
            {"waited_ms", base::to_milliseconds(now - request.arrived)},
            {"since_first_try_ms", base::to_milliseconds(now - request.first_try)},
            {"time_left_ms", base::to_milliseconds(request.deadline - now)},
            {"last_decision", request.slot_facts}};
}

template <typename Waiter, typename Dump>
json dump_rows(const std::vector<Waiter>& ordered, const Dump& dump) {
    json rows = json::array();
    for (std::size_t index = 0; index < std::min(ordered.size(), max_waiting_rows); ++index)
        rows.push_back(dump(ordered[index]));
    return rows;
}

/// A request that waits for an engine slot, and its position in the queue.
struct ordered_request {
    const waiting_request* waiting = nullptr;
    decision::local_waiter waiter;
    decision::wait_position position;
};

/// Whether it still meets its latency target if it gets a slot now. Its position does not tell, as protected
/// requests count as in time there.
bool can_be_in_time(const waiting_request& waiting, bool is_by_age, base::time_point now) {
    return now - (is_by_age ? waiting.first_try : waiting.arrived) <= waiting.in_time;
}

json dump_engine_rows(const gateway_state& state, const std::string& service,
                      const std::vector<const waiting_request*>& own) {
    if (own.empty())
        return json::array();
    const base::time_point now = state.clock->now();
    const decision::decode_slots slots = count_slots_for(state, *own.front());
    const decision::wait_queue queue =
        make_wait_queue(state, service, order_of(state, service),
                        {.total = slots.total_memory, .free = slots.free_memory}, now);
    std::vector<ordered_request> ordered;
    for (const waiting_request* const waiting : own) {
        const decision::local_waiter waiter = local_waiter_of(state, *waiting, now);
        ordered.push_back({waiting, waiter, queue.position_of(waiter)});
    }
    std::ranges::sort(ordered, {}, [](const ordered_request& one) {
        return std::tie(one.position, one.waiting->request->routed.id);
    });
    const bool is_by_age = queue.order().is_by_age();
    return dump_rows(ordered, [&](const ordered_request& one) {
        json row = dump_request(*one.waiting->request, now);
        row["can_be_in_time"] = can_be_in_time(*one.waiting, is_by_age, now);
        row["rank_now"] = one.position.rank;
        row["is_beyond_share"] = one.position.is_beyond_share;
        row["is_protected"] = decision::is_protected(one.waiter);
        row["ahead_on_all_hosts"] = queue.count_ahead(one.waiter);
        return row;
    });
}

json dump_engine_queue(const gateway_state& state, const std::string& service,
                       const std::vector<const waiting_request*>& own, const reported_waiters& others) {
    return {{"total", own.size()},
            {"total_on_other_hosts", others.requests},
            {"other_hosts", others.hosts},
            {"rows", dump_engine_rows(state, service, own)}};
}

json dump_send_queue(const std::vector<const send_slot_waiter*>& own, base::time_point now) {
    std::vector<const send_slot_waiter*> ordered = own;
    std::ranges::stable_sort(ordered, [now](const send_slot_waiter* left, const send_slot_waiter* right) {
        return decision::is_ahead(left->position, right->position, now);
    });
    json rows = dump_rows(ordered, [now](const send_slot_waiter* waiter) {
        json row = dump_request(*waiter->request, now);
        const base::time_point in_time_until = waiter->position.in_time_until;
        const bool is_known = in_time_until != decision::last_position(now).in_time_until;
        row["can_be_in_time"] = is_known ? json(now <= in_time_until) : json();
        const bool has_due_time = waiter->due != base::time_point::max();
        row["due_in_ms"] = has_due_time
                               ? json(base::to_milliseconds(std::max(base::duration{}, waiter->due - now)))
                               : json();
        return row;
    });
    return {{"total", ordered.size()}, {"rows", std::move(rows)}};
}

struct service_waiters {
    std::vector<const waiting_request*> for_engine;
    std::vector<const send_slot_waiter*> for_send;
};

std::map<std::string, service_waiters> waiters_by_service(const gateway_state& state,
                                                          const peer_waiters& others) {
    std::map<std::string, service_waiters> found;
    for (const waiting_request* const waiting : state.waiting)
        if (is_shown(waiting->request))
            found[waiting->service].for_engine.push_back(waiting);
    for (const auto& [service, queue] : state.send_slot_queues)
        for (const send_slot_waiter* const waiter : queue.waiters)
            if (is_shown(waiter->request))
                found[service].for_send.push_back(waiter);
    if (!state.settings)
        return found;
    for (const std::string& service : state.settings->shares.services)
        if (others.of(service).requests > 0)
            found.try_emplace(service);
    return found;
}

} // namespace

json dump_waiting(const gateway_state& state) {
    const peer_waiters others = count_peer_waiters(state);
    json services = json::object();
    for (const auto& [service, own] : waiters_by_service(state, others))
        services[service] = {
            {"engine_slot", dump_engine_queue(state, service, own.for_engine, others.of(service))},
            {"send_slot", dump_send_queue(own.for_send, state.clock->now())}};
    return services;
}

} // namespace postpaddle::gateway
