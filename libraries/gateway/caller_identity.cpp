// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/caller_identity.h>

#include <wire/authorization.h>

#include <algorithm>
#include <cmath>

namespace postpaddle::gateway {

namespace {

const settings::organisation_entry* organisation_by_id(const settings_in_force& settings,
                                                       const base::organisation_id& id) {
    const auto& organisations = settings.document.value->organisations;
    const auto found = organisations.find(id);
    return found == organisations.end() ? nullptr : &found->second;
}

const settings::organisation_entry* organisation_by_key(const settings_in_force& settings,
                                                        const std::string& key_hash) {
    const settings::routing_settings& value = *settings.document.value;
    const auto* const id = key_hash.empty() ? nullptr : settings::organisation_of(value.keys, key_hash);
    return id == nullptr ? nullptr : organisation_by_id(settings, *id);
}

/// Amount to charge against the limit, in the limit's unit.
std::int64_t amount_of(const ports::routed_request& routed, const settings::usage_limit& limit) {
    if (limit.unit == settings::usage_unit::requests)
        return 1;
    if (!routed.has_token_usage)
        return std::llround(limit.default_tokens);
    return std::llround(routed.prompt_tokens + routed.output_tokens);
}

/// How many priority levels the request's route is below the most urgent one of its service. A random part of
/// the less urgent requests gets 0 as well, see `host::is_exempt_from_reserve`.
int limit_level(gateway_request& request) {
    gateway_state& state = *request.state;
    if (!state.process->policy.order_by_rank || request.route->services.empty())
        return 0;
    const auto ranks = request.settings->ranks.find(request.route->services.front().service);
    if (ranks == request.settings->ranks.end())
        return 0;
    const std::vector<int>& priorities = ranks->second.routes;
    const auto more_urgent = std::ranges::lower_bound(priorities, request.route->priority);
    const auto level = static_cast<int>(more_urgent - priorities.begin());
    std::uniform_real_distribution<double> draw(0, 1);
    return level > 0 && host::is_exempt_from_reserve(draw(state.random)) ? 0 : level;
}

} // namespace

bool identify_caller(gateway_request& request) {
    if (!request.settings->document.value->requires_keys)
        return true;
    // Keys are for this router only: never forward them upstream, even on public routes.
    wire::remove_authorization(request.routed.message.headers);
    request.needs_key = !request.route->is_public;
    if (!request.needs_key)
        return true;
    request.organisation = organisation_by_key(*request.settings, request.routed.key_hash);
    if (request.organisation == nullptr)
        return false;
    request.routed.organisation = request.organisation->id;
    return true;
}

bool is_key_valid(gateway_request& request) {
    const auto& newest = request.state->settings;
    if (!request.needs_key || newest == request.checked_settings)
        return true;
    // Only the host that forwarded the request knows the key.
    const auto* const organisation = request.forwarded_by
                                         ? organisation_by_id(*newest, request.routed.organisation)
                                         : organisation_by_key(*newest, request.routed.key_hash);
    request.is_key_revoked = organisation == nullptr && newest->document.value->requires_keys;
    if (request.is_key_revoked)
        return false;
    if (organisation != nullptr)
        request.routed.organisation = organisation->id;
    request.checked_settings = newest;
    return true;
}

std::optional<base::duration> count_against_limit(gateway_request& request) {
    if (request.organisation == nullptr || !host::is_limited(request.organisation->limit))
        return std::nullopt;
    gateway_state& state = *request.state;
    const settings::usage_limit& limit = request.organisation->limit;
    const std::int64_t amount = amount_of(request.routed, limit);
    const base::time_point now = state.clock->now();
    host::advance(state.limit_clock, limit_participants_of(state).hosts, now);
    const int level = limit_level(request);
    const auto wait = host::try_consume(state.limits[request.organisation->id], limit,
                                        limit_participants_of(state), amount, now, level);
    if (!wait) {
        request.charged_amount = amount;
        return std::nullopt;
    }
    const host::limit_participants sharers = limit_participants_of(state);
    request.limit_facts = {{"amount", amount},
                           {"level", level},
                           {"reserve", host::reserve_of(limit, level)},
                           {"left", state.limits[request.organisation->id].level},
                           {"unconfirmed", state.limits[request.organisation->id].unconfirmed},
                           {"per_second", limit.per_second},
                           {"burst", limit.burst},
                           {"hosts", sharers.hosts},
                           {"heard", sharers.reporting_hosts},
                           {"come_back_ms", base::to_milliseconds(*wait)}};
    return wait;
}

void refund_if_not_run(gateway_request& request) {
    if (request.charged_amount == 0 || request.record.may_have_run)
        return;
    gateway_state& state = *request.state;
    host::refund(state.limits[request.organisation->id], request.organisation->limit,
                 std::exchange(request.charged_amount, 0), state.clock->now());
}

host::limit_participants limit_participants_of(const gateway_state& state) {
    const int reporting_hosts = state.limit_clock.reporting_hosts;
    // Until the host list has been read, use the largest host count that another host has reported.
    const int known_hosts = state.has_host_list ? state.participating_hosts
                                                : std::max(state.participating_hosts, state.hosts_reported);
    return {.hosts = std::max(known_hosts, reporting_hosts),
            .reporting_hosts = reporting_hosts,
            .seconds = state.limit_clock.seconds};
}

} // namespace postpaddle::gateway
