// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/forwarding/upstream_reach.h>

namespace postpaddle::gateway {

namespace {

/// Failures shortly before a service was found unreachable had the same cause.
constexpr base::duration failures_before = std::chrono::seconds(5);

void wake_waiting(gateway_state& state, const std::string& service) {
    state.did_change_slots();
    const auto queue = state.send_slot_queues.find(service);
    if (queue == state.send_slot_queues.end())
        return;
    for (const send_slot_waiter* const waiter : queue->second.waiters)
        if (waiter->wake != nullptr)
            waiter->wake->cancel();
}

void did_become_unreachable(gateway_state& state, const std::string& service,
                            const decision::service_reachability& reach) {
    nlohmann::json unreached = nlohmann::json::array();
    for (const auto& [id, failed_at] : reach.unreached)
        unreached.push_back(id.value);
    state.metrics->count("services_unreachable_total");
    state.log->write_always("service_unreachable",
                            {{"service", service}, {"unreached", std::move(unreached)}});
    wake_waiting(state, service);
    state.did_change_load();
}

} // namespace

bool is_service_unreachable(const gateway_state& state, const std::string& service) {
    const auto reach = state.instances.reachability.find(service);
    return reach != state.instances.reachability.end() && decision::is_unreachable(reach->second);
}

void did_connect_to_upstream(gateway_state& state, const std::string& service, base::time_point started) {
    decision::service_reachability& reach = state.instances.reachability[service];
    const auto unreachable_since = reach.unreachable_since;
    const bool has_failures = !reach.unreached.empty();
    const decision::suspicion ended = decision::record_connected(reach, started);
    // Failures at other instances are worth reporting now.
    if (has_failures)
        state.did_change_load();
    if (ended == decision::suspicion::none)
        return;
    if (ended == decision::suspicion::confirmed)
        decision::restore_unreached(state.instances, service, *unreachable_since - failures_before);
    state.log->write_always(
        "service_reachable",
        {{"service", service},
         {"unreachable_ms", base::to_milliseconds(state.clock->now() - *unreachable_since)}});
    state.did_change_slots();
}

void did_fail_to_connect(gateway_state& state, const base::upstream_id& instance, base::time_point started) {
    const decision::instance* const target = decision::find_instance(state.instances, instance);
    if (target == nullptr)
        return;
    const std::string service = target->entry.service;
    decision::service_reachability& reach = state.instances.reachability[service];
    const decision::connection_attempt attempt = {.instance = instance,
                                                  .started = started,
                                                  .instances =
                                                      decision::count_listed(state.instances, service)};
    if (decision::record_unconnected(reach, attempt, state.clock->now()))
        did_become_unreachable(state, service, reach);
    if (state.on_links_doubted)
        state.on_links_doubted(service);
}

void did_get_no_answer(gateway_state& state, const base::upstream_id& instance) {
    const decision::instance* const target = decision::find_instance(state.instances, instance);
    if (target != nullptr && state.on_links_doubted)
        state.on_links_doubted(target->entry.service);
}

} // namespace postpaddle::gateway
