// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/engine_slots/slot_order.h>

#include <algorithm>
#include <span>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;

/// Lifetime of the ordered waiting requests. Other hosts' reports are a few milliseconds old.
constexpr base::duration queue_lifetime = 5ms;

share_owners make_share_owners(const settings::routing_settings& settings) {
    share_owners owners;
    for (const auto& [name, service] : settings.services) {
        if (!service.engine)
            continue;
        const auto index = static_cast<std::uint32_t>(owners.services.size());
        owners.services.push_back(name);
        owners.service_of.emplace_back(host::key_of(name, base::organisation_id{}), index);
        for (const auto& [id, organisation] : settings.organisations)
            owners.service_of.emplace_back(host::key_of(name, id), index);
    }
    std::ranges::sort(owners.service_of);
    return owners;
}

/// Whether a share is known to be of another service. Keys that are not in the settings, for example of hosts
/// with a newer version, may be of any. Keys are 32 bits of a hash, so those of two services may collide.
bool is_of_other_service(const share_owners& owners, host::share_key key, const std::string& service) {
    bool is_known = false;
    auto row = std::ranges::lower_bound(owners.service_of, std::pair(key, std::uint32_t{0}));
    for (; row != owners.service_of.end() && row->first == key; ++row) {
        if (owners.services[row->second] == service)
            return false;
        is_known = true;
    }
    return is_known;
}

/// Services to which a share may belong; none if it is not in the settings.
std::set<std::string> services_of(const gateway_state& state, host::share_key key) {
    std::set<std::string> services;
    if (!state.settings)
        return services;
    const share_owners& owners = state.settings->shares;
    auto row = std::ranges::lower_bound(owners.service_of, std::pair(key, std::uint32_t{0}));
    for (; row != owners.service_of.end() && row->first == key; ++row)
        services.insert(owners.services[row->second]);
    return services;
}

decision::share_amounts shares_in_use(const gateway_state& state, const std::string& service) {
    decision::share_amounts in_use;
    for (const auto& [key, tokens] : state.loads.share_total)
        if (!is_of_other_service(state.settings->shares, key, service))
            in_use[key] += tokens;
    for (const auto& [key, use] : state.shares)
        if (!is_of_other_service(state.settings->shares, key, service))
            in_use[key] += use.memory_tokens;
    return in_use;
}

/// Shares of the memory of all decode engines. Streams are counted with the memory that they will need, so
/// more may be in use than the engines have.
decision::fair_shares shares_of(const gateway_state& state, const std::string& service,
                                std::span<const decision::waiter> waiters, const slot_memory& memory) {
    decision::share_amounts in_use = shares_in_use(state, service);
    double used = 0;
    for (const auto& [key, tokens] : in_use)
        used += tokens;
    decision::share_amounts waiting;
    for (const decision::waiter& other : waiters)
        waiting[other.share_key] += other.memory_tokens;
    return decision::make_fair_shares(std::move(in_use), waiting, std::max(memory.total, used + memory.free));
}

/// Requests of all hosts that wait for a slot of the service. By age alone those of all services count, as
/// hosts of an earlier version do not report the service.
std::vector<decision::waiter> waiters_of(const gateway_state& state, const std::string& service,
                                         const decision::wait_order& order, base::time_point now) {
    std::vector<decision::waiter> waiters = host::all_waiters(state.loads, now);
    for (const waiting_request* const waiting : state.waiting)
        waiters.push_back(decision::to_waiter(local_waiter_of(state, *waiting, now)));
    if (!order.is_by_age())
        std::erase_if(waiters, [&](const decision::waiter& other) {
            return is_of_other_service(state.settings->shares, other.share_key, service);
        });
    return waiters;
}

} // namespace

void prepare_order(settings_in_force& settings) {
    const settings::routing_settings& value = *settings.document.value;
    std::vector<int> organisations;
    for (const auto& [id, organisation] : value.organisations)
        organisations.push_back(organisation.priority);
    std::map<std::string, std::vector<int>> routes;
    for (const settings::route_entry& route : value.routes)
        for (const settings::weighted_service& target : route.services)
            routes[target.service].push_back(route.priority);
    for (const auto& [service, priorities] : routes)
        settings.ranks[service] = decision::make_rank_table(organisations, priorities);
    settings.shares = make_share_owners(value);
}

int rank_of(const settings_in_force& settings, const std::string& service,
            std::optional<int> organisation_priority, int route_priority,
            const settings::gateway_policy& policy) {
    const auto table = settings.ranks.find(service);
    if (!policy.order_by_rank || table == settings.ranks.end())
        return 0;
    return decision::rank_of(table->second, organisation_priority, route_priority);
}

int rank_in_newer(const settings_in_force& settings, const std::string& service,
                  const settings::organisation_entry* organisation, const settings::route_entry& route,
                  const settings::gateway_policy& policy) {
    const settings::routing_settings& value = *settings.document.value;
    std::optional<int> organisation_priority;
    if (organisation != nullptr) {
        const auto found = value.organisations.find(organisation->id);
        organisation_priority =
            found == value.organisations.end() ? organisation->priority : found->second.priority;
    }
    const auto same_route = std::ranges::find(value.routes, route.name, &settings::route_entry::name);
    const int route_priority = same_route == value.routes.end() ? route.priority : same_route->priority;
    return rank_of(settings, service, organisation_priority, route_priority, policy);
}

decision::wait_order order_of(const gateway_state& state, const std::string& service) {
    decision::wait_order order;
    if (!state.settings)
        return order;
    const settings::gateway_policy& policy = state.process->policy;
    const auto table = state.settings->ranks.find(service);
    if (policy.order_by_rank && table != state.settings->ranks.end() && decision::has_ranks(table->second)) {
        order.by_rank = true;
        order.unreported_rank = decision::middle_rank(table->second);
    }
    order.by_share = policy.share_fairly && !state.settings->document.value->organisations.empty();
    return order;
}

decision::local_waiter local_waiter_of(const gateway_state& state, const waiting_request& request,
                                       base::time_point now) {
    const decision::waiting_facts facts = {.age = now - request.first_try,
                                           .waited = now - request.arrived,
                                           .in_time = request.in_time,
                                           .latency_target = request.latency_target,
                                           .max_wait = request.max_wait,
                                           .memory_tokens = request.memory_tokens,
                                           .rank = request.rank,
                                           .share_key = request.share_key};
    if (order_of(state, request.service).is_by_age())
        return {.waited = facts.age,
                .in_time = facts.in_time,
                .memory_tokens = facts.memory_tokens,
                .rank = facts.rank,
                .share_key = facts.share_key};
    return decision::make_local_waiter(facts);
}

decision::decode_slots count_slots_for(const gateway_state& state, const waiting_request& waiting) {
    const decision::choice_context context = {.service = waiting.service,
                                              .own_zone = state.process->availability_zone,
                                              .excluded = {},
                                              .now = state.clock->now()};
    const decision::prompt_size size = {.prompt_tokens = waiting.memory_tokens};
    return decision::count_decode_slots(state.instances, context, waiting.capacity, size);
}

reported_waiters peer_waiters::of(const std::string& service) const {
    reported_waiters found = this->of_any_service;
    if (const auto known = this->by_service.find(service); known != this->by_service.end()) {
        found.hosts += known->second.hosts;
        found.requests += known->second.requests;
    }
    return found;
}

peer_waiters count_peer_waiters(const gateway_state& state) {
    peer_waiters found;
    for (const auto& [host, received] : state.loads.by_host) {
        std::map<std::string, int> by_service;
        int of_any_service = 0;
        for (const decision::waiter& other : received.report.waiters) {
            const auto services = services_of(state, other.share_key);
            for (const std::string& service : services)
                ++by_service[service];
            of_any_service += services.empty() ? 1 : 0;
        }
        found.of_any_service.hosts += of_any_service > 0 ? 1 : 0;
        found.of_any_service.requests += of_any_service;
        for (const auto& [service, count] : by_service) {
            reported_waiters& own = found.by_service[service];
            own.hosts += of_any_service > 0 ? 0 : 1;
            own.requests += count;
        }
    }
    return found;
}

decision::wait_queue make_wait_queue(const gateway_state& state, const std::string& service,
                                     decision::wait_order order, const slot_memory& memory,
                                     base::time_point now) {
    const auto waiters = waiters_of(state, service, order, now);
    if (order.by_share)
        order.shares = shares_of(state, service, waiters, memory);
    return decision::wait_queue(waiters, std::move(order));
}

const ordered_waiters& ordered_waiters_of(gateway_state& state, const std::string& service,
                                          const slot_memory& memory) {
    const base::time_point now = state.clock->now();
    ordered_waiters& known = state.ordered_waiters_of[service];
    decision::wait_order order = order_of(state, service);
    const bool is_valid = known.queue && !order.is_by_age() &&
                          known.settings_version == settings_version(state) &&
                          now - known.made_at < queue_lifetime;
    if (is_valid)
        return known;
    known = {.queue = make_wait_queue(state, service, std::move(order), memory, now),
             .made_at = now,
             .settings_version = settings_version(state)};
    const decision::wait_order& made = known.queue->order();
    if (made.by_share) {
        const double level = std::min(made.shares.level, std::max(memory.total, memory.free));
        state.metrics->set("share_level_tokens{service=" + quoted_label(service) + "}", level);
    }
    return known;
}

void did_change_order(gateway_state& state) {
    for (auto& [service, known] : state.ordered_waiters_of)
        known.queue.reset();
}

scoped_share_use::scoped_share_use(gateway_state& state, host::share_key key, double memory_tokens)
    : state(&state), key(key), memory_tokens(memory_tokens) {
    share_use& use = state.shares[key];
    ++use.requests;
    use.memory_tokens += memory_tokens;
    did_change_order(state);
}

scoped_share_use::~scoped_share_use() {
    const auto use = this->state->shares.find(this->key);
    use->second.memory_tokens -= this->memory_tokens;
    if (--use->second.requests <= 0)
        this->state->shares.erase(use);
    did_change_order(*this->state);
    this->state->did_change_load();
}

} // namespace postpaddle::gateway
