// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/operations/state_dump.h>

#include <gateway/caller_identity.h>
#include <gateway/collected_bodies.h>
#include <gateway/endings/open_request.h>
#include <gateway/endings/request_record.h>
#include <gateway/operations/waiting_dump.h>
#include <gateway/store_sync/registry_doubt.h>
#include <gateway/stream_origin/version_splits.h>
#include <gateway/unsent_data_bound.h>

namespace postpaddle::gateway {

namespace {

using nlohmann::json;

json dump_instance(const decision::instance& known, base::time_point now) {
    return {{"service", known.entry.service},
            {"software_version", known.entry.software_version},
            {"address", known.entry.address},
            {"availability_zone", known.entry.availability_zone.value},
            {"stage", static_cast<int>(known.entry.stage)},
            {"listing", decision::to_text(known.state)},
            {"registry_offset", known.offset},
            {"own_requests", known.own.requests},
            {"own_memory_tokens", known.own.memory_tokens},
            {"others_memory_tokens", known.others.memory_tokens},
            {"others_requests", decision::others_requests(known, now)},
            {"failure_rate", known.health.failure_rate},
            {"failures_in_row", known.health.failures_in_row},
            {"is_aside", decision::is_ejected(known, now)},
            {"is_cold", decision::is_cold(known, now)},
            {"is_resting", decision::is_backing_off(known, now)},
            {"limit_per_s", known.limit.per_second ? json(*known.limit.per_second) : json()},
            {"avoided_by", known.avoided_by},
            {"is_out_of_service_elsewhere", known.is_out_of_service_elsewhere},
            {"plain_requests", decision::plain_requests(known, now)},
            {"plain_queue_limit", known.plain.queue_limit ? json(*known.plain.queue_limit) : json()},
            {"latency_ms", known.latency.value * 1'000},
            {"slowness", known.slowness.value},
            {"pace",
             {{"prefill", decision::current_pace(known.pace.prefill, now)},
              {"decode", decision::current_pace(known.pace.decode, now)},
              {"prefill_in_use", known.pace.in_use.prefill},
              {"decode_in_use", known.pace.in_use.decode}}}};
}

json dump_peers(const gateway_state& state, base::time_point now) {
    json peers = json::object();
    for (const auto& [name, known] : state.peers.by_name) {
        json& peer = peers[name.value] = {{"address", known.address},
                                          {"heard_ms_ago", base::to_milliseconds(now - known.last_seen)},
                                          {"is_leaving", known.is_leaving}};
        const auto received = state.loads.by_host.find(name);
        if (received == state.loads.by_host.end())
            continue;
        peer["avoided_upstreams"] = received->second.report.avoided.size();
        peer["upstreams_out_of_service"] = received->second.report.out_of_service.size();
    }
    return peers;
}

/// The services that this host can't reach: since when, and the instances that gave the reason.
json dump_unreachable_services(const gateway_state& state, base::time_point now) {
    json services = json::object();
    for (const auto& [service, reach] : state.instances.reachability) {
        if (!decision::is_unreachable(reach))
            continue;
        json unreached = json::object();
        for (const auto& [id, failed_at] : reach.unreached)
            unreached[id.value] = {{"failed_ms_ago", base::to_milliseconds(now - failed_at)}};
        json& row = services[service];
        row = {{"since_ms", base::to_milliseconds(now - *reach.unreachable_since)},
               {"unreached", std::move(unreached)},
               {"hosts", json::object()}};
        const auto links = state.forwarding_peers.links.find(service);
        if (links == state.forwarding_peers.links.end())
            continue;
        for (const auto& [host, report] : links->second)
            row["hosts"][host.value] = {
                {"link", report.link == host::peer_link::reaches ? "reaches" : "unreachable"},
                {"heard_ms_ago", base::to_milliseconds(now - report.at)}};
    }
    return services;
}

json dump_profile(const decision::service_profile& profile) {
    return {{"prompt_tokens", profile.prompt_tokens.value},
            {"output_tokens", profile.output_tokens.value},
            {"event_seconds", profile.event_seconds.value},
            {"first_event_seconds", profile.speed.first_event.value},
            {"read_seconds", decision::seconds_for_tokens(profile.speed, profile.prompt_tokens.value)},
            {"streams_timed", profile.streams_timed}};
}

/// Requests in progress beyond this number are left out.
constexpr std::size_t max_open_requests = 64;

json dump_open_requests(const gateway_state& state, base::time_point now) {
    json rows = json::array();
    for (open_request* const open : state.open_requests) {
        if (rows.size() == max_open_requests)
            break;
        const gateway_request& request = open->request();
        rows.push_back({{"request", request.routed.id},
                        {"phase", phase_of(request)},
                        {"sends", request.sends.size()},
                        {"age_ms", base::to_milliseconds(now - request.arrived)}});
    }
    return rows;
}

/// How streams are divided among software versions, as this host knows it.
json dump_splits(const gateway_state& state) {
    json rows = json::object();
    if (state.splits == nullptr)
        return rows;
    const version_splits& splits = *state.splits;
    for (const auto& [service, known] : splits.all())
        rows[service] = {{"splits", json::array()},
                         {"routes", known.routes},
                         {"is_confirmed", splits.is_confirmed(service)},
                         {"covers_registry", splits.covers_registry(service)}};
    for (const auto& [service, known] : splits.all())
        for (const decision::traffic_split& split : known.history.splits)
            rows[service]["splits"].push_back(split.weights);
    return rows;
}

/// The requests and parts of prompts suspected of ending upstreams.
json dump_suspects(const gateway_state& state, base::time_point now) {
    json suspects = json::object();
    for (const auto& [request, suspect] : state.quarantine.suspects) {
        const auto hold = host::remaining_hold(state.quarantine, state.quarantine_options, request, now);
        suspects[host::to_text(request)] = {{"ends", suspect.exits.size()},
                                            {"is_prompt_part", host::is_prompt_part(request)},
                                            {"is_held", hold.has_value()},
                                            {"is_stored", suspect.is_stored}};
    }
    return suspects;
}

json dump_collected(const wire::collected_data& collected) {
    return {{"bytes", collected.bytes()}, {"bound", collected.bound()}, {"given_up", collected.given_up()}};
}

} // namespace

json dump_state(const gateway_state& state) {
    const base::time_point now = state.clock->now();
    json instances = json::object();
    for (const auto& [id, known] : state.instances.by_id)
        instances[id.value] = dump_instance(known, now);
    json budgets = json::object();
    for (const auto& [service, budget] : state.budgets)
        budgets[service] = decision::retries_left(budget, budget_options_of(state), now);
    json profiles = json::object();
    for (const auto& [service, profile] : state.profiles)
        profiles[service] = dump_profile(profile);
    json organisations = json::object();
    const host::limit_participants sharers = limit_participants_of(state);
    for (const auto& [id, account] : state.limits)
        organisations[id.value] = {{"left", account.level}, {"used", account.used}};
    json evacuated = json::array();
    for (const base::zone_id& zone : state.instances.evacuated)
        evacuated.push_back(zone.value);
    json policy = json::object();
    for (const settings::policy_field& field : settings::policy_fields())
        policy[field.name] = state.process->policy.*field.value;
    return {{"host", state.process->name.value},
            {"policy", std::move(policy)},
            {"is_ready", is_ready(state)},
            {"is_draining", state.is_draining},
            {"settings_version", settings_version(state)},
            {"evacuated_zones", std::move(evacuated)},
            {"routes", state.settings ? state.settings->document.value->routes.size() : 0},
            {"registry_next", state.registry_next},
            {"registry_doubt", describe_registry_doubt(state)},
            {"reads_store", state.reads_store},
            {"leads_cell", host::is_leader(state.position_in_cell)},
            {"cell_hosts", state.position_in_cell.hosts},
            {"requests_in_progress", state.requests_in_progress},
            {"forwarded_in_progress", state.forwarded_in_progress},
            {"open_requests", dump_open_requests(state, now)},
            {"requests_without_answer", state.metrics->counters_with(lost_answers_metric)},
            {"unreachable_services", dump_unreachable_services(state, now)},
            {"waiting", dump_waiting(state)},
            {"unsent_bytes", state.unsent_data->unsent_bytes()},
            {"unsent_bound", state.unsent_data->bound()},
            {"collected_answers", dump_collected(state.collected->answers)},
            {"collected_requests", dump_collected(*state.collected->requests)},
            {"hosts_alive", hosts_alive(state)},
            {"has_host_list", state.has_host_list},
            {"limits_shared_by", sharers.hosts},
            {"limits_heard_of", sharers.reporting_hosts},
            {"organisations", std::move(organisations)},
            {"suspected_requests", dump_suspects(state, now)},
            {"may_miss_updates", host::may_miss_updates(state.peers, now)},
            {"retry_budget_left", std::move(budgets)},
            {"profiles", std::move(profiles)},
            {"version_splits", dump_splits(state)},
            {"instances", std::move(instances)},
            {"peers", dump_peers(state, now)}};
}

std::string to_operator_text(const json& value) {
    static constexpr int indent = 2;
    return value.dump(indent, ' ', false, json::error_handler_t::replace);
}

std::string export_metrics(const gateway_state& state) {
    state.metrics->set("unsent_bytes", static_cast<double>(state.unsent_data->unsent_bytes()));
    return state.metrics->text();
}

} // namespace postpaddle::gateway
