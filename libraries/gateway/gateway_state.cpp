// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/gateway_state.h>

#include <decision/overload/decode_recheck.h>
#include <gateway/engine_slots/slot_order.h>
#include <gateway/store_sync/registry_doubt.h>
#include <gateway/store_sync/registry_lease.h>

#include <algorithm>
#include <limits>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;

/// Fraction of the settings bound during which no second transfer is started.
constexpr double transfer_fraction = 0.5;

/// Completed requests kept for operators.
constexpr std::size_t max_completed_requests = 128;

/// Longer than any stream and all attempts of its caller.
constexpr base::duration longest_stream = 24h;

/// Upper bound on idle connections to one upstream.
constexpr int max_idle_connections = 8;

void log_listing(gateway_state& state, const base::upstream_id& id, std::uint64_t offset,
                 const char* origin) {
    const decision::instance* const known = decision::find_instance(state.instances, id);
    if (known == nullptr)
        return;
    nlohmann::json fields = {{"instance", id.value},
                             {"service", known->entry.service},
                             {"software_version", known->entry.software_version},
                             {"address", known->entry.address},
                             {"born", known->entry.start_time_ms},
                             {"listing", decision::to_text(known->state)},
                             {"offset", offset},
                             {"heard_from", origin}};
    if (known->state == decision::listing::unlisted)
        fields["doubt"] = describe_registry_doubt(state);
    state.log->write("instance_listing", std::move(fields));
}

} // namespace

void gateway_state::did_change_load() const {
    if (this->on_load_changed)
        this->on_load_changed();
}

void record_completed(gateway_state& state, completed_request request) {
    if (state.completed.size() >= max_completed_requests)
        state.completed.pop_front();
    state.completed.push_back(std::move(request));
}

nlohmann::json traces_of(const gateway_state& state, const std::string& id) {
    nlohmann::json traces = nlohmann::json::array();
    for (const completed_request& completed : state.completed)
        if (completed.id == id)
            traces.push_back(completed.trace);
    return traces;
}

bool is_ready(const gateway_state& state) {
    return state.settings != nullptr && state.has_registry && !state.is_draining && may_use_registry(state);
}

std::uint64_t settings_version(const gateway_state& state) {
    return state.settings ? state.settings->document.value->version : 0;
}

bool is_settings_transfer_pending(const gateway_state& state, const std::optional<base::time_point>& since) {
    const double max_seconds = transfer_fraction * base::to_seconds(state.process->max_settings_delay);
    return since && state.clock->now() - *since < base::from_seconds(max_seconds);
}

bool apply_settings(gateway_state& state, ports::settings_document document, const char* origin) {
    const std::uint64_t version = document.value->version;
    const std::uint64_t before = settings_version(state);
    if (state.settings && version <= before)
        return false;
    auto next = std::make_shared<settings_in_force>();
    next->routes = decision::make_route_table(*document.value);
    next->services_with_priorities = decision::services_with_priorities(*document.value);
    next->document = std::move(document);
    for (const auto& [id, organisation] : next->document.value->organisations)
        next->organisation_by_key[host::key_of(id)] = &organisation;
    prepare_order(*next);
    host::apply_limits(state.caller_limits, next->document.value->limits, state.clock->now(),
                       state.process->max_settings_delay);
    state.settings = std::move(next);
    state.ordered_waiters_of.clear(); // Drops those of services that are gone.
    state.metrics->set("settings_version", static_cast<double>(version));
    state.log->write_always("settings_in_force", {{"version", version},
                                                  {"version_before", before},
                                                  {"routes", state.settings->document.value->routes.size()},
                                                  {"document_bytes", state.settings->document.text.size()},
                                                  {"heard_from", origin}});
    return true;
}

namespace {

/// A zone that returns to service may have been restarted, which the registry reports late. Its upstreams are
/// treated as cold until they have had time to warm up.
void mark_cold(gateway_state& state, const std::vector<base::zone_id>& zones) {
    if (!state.settings || zones.empty())
        return;
    const auto& services = state.settings->document.value->services;
    for (auto& [id, known] : state.instances.by_id) {
        const auto service = services.find(known.entry.service);
        const bool is_there = std::ranges::find(zones, known.entry.availability_zone) != zones.end();
        if (is_there && service != services.end())
            decision::record_cold(known, service->second.cold_start, state.clock->now());
    }
}

void log_zones(gateway_state& state, const std::vector<base::zone_id>& zones, const char* event,
               const char* origin) {
    for (const base::zone_id& zone : zones)
        state.log->write_always(event, {{"availability_zone", zone.value}, {"heard_from", origin}});
}

/// Marks an instance as cold if its registry entry says so.
void record_advertised_cold(gateway_state& state, const decision::registry_change& change) {
    if (!change.entry || change.entry->cold_remaining <= 0ms)
        return;
    decision::instance* const known = decision::find_instance(state.instances, change.id);
    if (known != nullptr && known->entry.start_time_ms == change.entry->start_time_ms)
        decision::record_cold(*known, change.entry->cold_remaining, state.clock->now());
}

} // namespace

bool apply_zone_records(gateway_state& state, const decision::zone_record_page& page, const char* origin) {
    const decision::evacuation_change change = decision::apply_zone_records(state.evacuations, page);
    if (!change.has_changes())
        return false;
    state.instances.evacuated = decision::evacuated_zones(state.evacuations);
    state.metrics->set("evacuated_zones", static_cast<double>(state.instances.evacuated.size()));
    mark_cold(state, change.restored);
    log_zones(state, change.evacuated, "zone_evacuated", origin);
    log_zones(state, change.restored, "zone_taken_back", origin);
    state.did_change_slots();
    return true;
}

decision::rate_group rate_group_of(const gateway_state& state) {
    // A host that does not know the number of participants gets no share.
    if (!state.has_host_list)
        return {.hosts = std::numeric_limits<int>::max()};
    return {.hosts = state.participating_hosts, .position = state.position_among_hosts};
}

bool record_instance_leaving(gateway_state& state, decision::instance& target, const char* origin) {
    if (!decision::record_leaving(target, state.clock->now()))
        return false;
    ++state.registry_revision;
    log_listing(state, target.entry.id, target.offset, origin);
    host::apply_instance_sums(state.instances, state.loads, target.entry.id);
    return true;
}

namespace {

/// Records the software version before and after a change: until now the former may have begun streams.
void record_versions(gateway_state& state, const decision::registry_change& change) {
    const base::time_point now = state.clock->now();
    if (const decision::instance* const before = decision::find_instance(state.instances, change.id))
        decision::record_version(state.software_versions, before->entry, now);
    if (change.entry)
        decision::record_version(state.software_versions, *change.entry, now);
}

} // namespace

void apply_registry_changes(gateway_state& state, const std::vector<decision::registry_change>& changes,
                            const char* origin) {
    // NOTE: The cost of a change must not depend on the number of upstreams; changes arrive one at a time.
    const auto condition = registry_condition_of(state);
    const host::cell own = own_cell(state);
    bool has_restarted = false;
    bool has_gone = false;
    for (const decision::registry_change& change : changes) {
        record_versions(state, change);
        const auto effect = decision::apply_change(state.instances, change, condition);
        record_advertised_cold(state, change);
        decision::instance* const known = decision::find_instance(state.instances, change.id);
        if (known != nullptr)
            known->is_remote = host::is_remote_engine(*known, state.cells, own);
        if (effect == decision::change_effect::none)
            continue;
        ++state.registry_revision;
        log_listing(state, change.id, change.offset, origin);
        host::apply_instance_sums(state.instances, state.loads, change.id);
        has_restarted |= effect == decision::change_effect::restarted;
        has_gone |= known != nullptr && known->state != decision::listing::listed;
        state.held_prompts.erase(change.id);
    }
    // Load that other hosts reported for the previous start does not count for the new one.
    if (has_restarted)
        host::apply_all_sums(state.instances, state.loads);
    if (has_gone)
        decision::remove_gone(state.instances);
    decision::drop_old(state.instances.departed, state.clock->now());
}

host::cell own_cell(const gateway_state& state) {
    return host::cell_of_host(state.cells, state.process->name, state.process->availability_zone);
}

std::chrono::milliseconds registry_bound(const gateway_state& state) {
    return state.process->max_leaving_delay;
}

void expire_unlisted_instances(gateway_state& state) {
    if (registry_condition_of(state) == decision::registry_condition::failing)
        return;
    for (const base::upstream_id& id : decision::expire_unlisted(state.instances)) {
        ++state.registry_revision;
        log_listing(state, id, state.registry_next, "store");
    }
}

void apply_registry_snapshot(gateway_state& state, const ports::registry_page& page) {
    const base::time_point now = state.clock->now();
    decision::record_all_versions(state.software_versions, state.instances, now);
    const auto changed = decision::apply_snapshot(
        state.instances, {.entries = page.changes, .unreadable = page.unreadable, .end = page.next},
        registry_condition_of(state));
    decision::record_all_versions(state.software_versions, state.instances, now);
    if (!state.software_versions.known_since)
        state.software_versions.known_since = state.process->is_first_start ? now - longest_stream : now;
    for (const decision::registry_change& change : page.changes)
        record_advertised_cold(state, change);
    ++state.registry_revision;
    host::apply_all_sums(state.instances, state.loads);
    host::mark_remote_engines(state.instances, state.cells, own_cell(state));
    // The initial read contains every upstream; the summary line below is enough.
    if (state.has_registry)
        for (const base::upstream_id& id : changed)
            log_listing(state, id, page.next, "store");
    state.log->write_always(
        "registry_read",
        {{"upstreams", page.changes.size()}, {"changed", changed.size()}, {"next_offset", page.next}});
    state.registry_next = page.next;
    state.has_registry = true;
}

void limit_idle_connections(gateway_state& state) {
    if (!state.settings)
        return;
    int min_connections = std::numeric_limits<int>::max();
    for (const auto& [name, service] : state.settings->document.value->services)
        min_connections = std::min(min_connections, service.max_connections);
    // Half of the share is left for active connections.
    static constexpr int parts = 2;
    const int own_share = min_connections / (parts * hosts_alive(state));
    state.pool->set_max_idle_connections(
        static_cast<std::size_t>(std::clamp(own_share, 1, max_idle_connections)));
}

decision::shared_budget_options budget_options_of(const gateway_state& state) {
    const settings::retry_budget_settings& retries = state.process->retries;
    // A host that knows only some of the others would take too large a share.
    return {.ratio = retries.ratio,
            .slack = state.has_host_list ? retries.slack : 0,
            .window = retries.window,
            .hosts = hosts_alive(state),
            // Ranks are per cell: summed over all cells, the shares do not exceed those of a single ranking.
            .rank = static_cast<int>(state.position_in_cell.rank)};
}

decision::shared_budget& budget_of(gateway_state& state, const std::string& service) {
    return state.budgets.try_emplace(service, decision::shared_budget{.started = state.started})
        .first->second;
}

std::size_t count_other_hosts(const gateway_state& state) {
    // Without datagrams no host can be asked.
    if (state.process->load_port == 0)
        return 0;
    // Until the first contact, the seeds stand for the hosts that may exist.
    if (state.peers.by_name.empty())
        return state.peers.seeds.size();
    const base::time_point now = state.clock->now();
    return static_cast<std::size_t>(std::ranges::count_if(
        state.peers.by_name, [now](const auto& item) { return host::may_be_alive(item.second, now); }));
}

int hosts_alive(const gateway_state& state) { return host::count_alive(state.peers) + 1; }

} // namespace postpaddle::gateway
