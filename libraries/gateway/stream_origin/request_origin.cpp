// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/stream_origin/request_origin.h>

#include <gateway/endings/request_drain.h>
#include <gateway/forwarding/forwarding_sender.h>
#include <gateway/stream_origin/stream_journal_exchange.h>
#include <gateway/stream_origin/stream_origin_exchange.h>
#include <gateway/stream_origin/version_splits.h>
#include <host/origin_evidence.h>

#include <algorithm>

namespace postpaddle::gateway {

namespace {

using namespace std::chrono_literals;

constexpr const char* unknown_version = "what began the stream is not known here";
constexpr const char* other_service = "the route has lost the service that began the stream";
constexpr const char* version_gone = "no upstream of the stream's software version is left";
/// How much longer than its caller waits a stream's record is kept, for clocks and transit times.
constexpr base::duration record_margin = 10s;

/// The keys of the stream whose first event came with the attempt of that id.
host::stream_keys keys_of(const gateway_request& request, const std::string& first_id) {
    host::stream_keys keys{.by_id = {}, .by_content = {request.fingerprint.high, request.fingerprint.low}};
    if (first_id.empty())
        return keys;
    keys.by_id = host::key_of_stream(
        {.organisation = request.routed.organisation, .host = request.routed.host, .request_id = first_id});
    // A caller that names an attempt for other content than its own must not get that one's origin.
    keys.by_id.high ^= keys.by_content.high;
    keys.by_id.low ^= keys.by_content.low;
    return keys;
}

/// For how long the request's stream may be resumed.
std::chrono::milliseconds record_lifetime(const gateway_request& request) {
    const base::duration patience =
        std::max(longest_return(*request.state, request.service), request.deadline - request.arrived);
    return std::chrono::duration_cast<std::chrono::milliseconds>(patience + record_margin);
}

/// Number by which versions are assigned to the request's content.
std::uint64_t split_key_of(const gateway_request& request) {
    return host::number_of({request.fingerprint.high, request.fingerprint.low});
}

/// The services at which streams of the request's route can have begun.
std::set<std::string> services_of_streams(const gateway_request& request) {
    const auto stored = request.state->splits->services_of(request.route->name);
    std::set<std::string> services(stored.begin(), stored.end());
    for (const settings::weighted_service& choice : request.route->services)
        services.insert(choice.service);
    return services;
}

/// Whether an engine of the version is in the registry and not leaving.
bool has_listed_engine(const gateway_request& request, const std::string& service,
                       const std::string& version) {
    return std::ranges::any_of(request.state->instances.by_id, [&](const auto& item) {
        const decision::instance& known = item.second;
        return known.entry.service == service && known.entry.software_version == version &&
               known.entry.stage != settings::engine_stage::prefill &&
               known.state == decision::listing::listed;
    });
}

/// What the request's stream can have begun at without a record; nothing if that could be anything.
std::optional<std::set<host::stream_origin>> find_unrecorded(const gateway_request& request) {
    const version_splits& splits = *request.state->splits;
    std::set<host::stream_origin> origins;
    for (const std::string& service : services_of_streams(request)) {
        const service_splits* const known = splits.find(service);
        if (known == nullptr || !known->routes.contains(request.route->name) ||
            !splits.covers_registry(service))
            return std::nullopt;
        for (const std::string& version : decision::assigned_versions(known->history, split_key_of(request)))
            origins.insert({.service = service, .software_version = version});
    }
    return origins;
}

/// Whether streams of the request's route can have begun at several versions.
bool has_several_versions(const gateway_request& request) {
    const auto services = services_of_streams(request);
    return services.size() > 1 || std::ranges::any_of(services, [&](const std::string& service) {
               const service_splits* const known = request.state->splits->find(service);
               return known == nullptr || decision::has_several_versions(known->history);
           });
}

/// An origin and how it was found, for the log.
struct found_origin {
    std::optional<host::stream_origin> origin;
    const char* source = "unknown";
};

found_origin find_origin(gateway_request& request, wire::yield_context yield) {
    gateway_state& state = *request.state;
    const host::stream_keys keys = keys_of(request, request.routed.resumes);
    const auto zones = placement_limits_of(request).allowed_zones;
    const bool is_store_read = state.splits->refresh(yield);
    const auto recorded = is_store_read ? state.stream_journal->find(keys, yield) : std::nullopt;
    // The journal's word on the attempt is final, also if it contradicts itself.
    if (recorded && recorded->by_id)
        return {.origin = host::resolve_origin({.unrecorded = {}, .recorded = *recorded, .is_named = true}),
                .source = "journal"};
    std::optional<host::stream_origin> derived;
    if (recorded)
        derived = host::resolve_origin({.unrecorded = find_unrecorded(request),
                                        .recorded = *recorded,
                                        .is_named = keys.by_id != host::stream_key{}});
    if (derived && !has_several_versions(request))
        return {.origin = std::move(derived), .source = "split"};
    // With several services the stream may have begun at any of them.
    const auto& services = request.route->services;
    const std::string inferred_for = !is_store_read && services.size() == 1 ? services.front().service : "";
    auto known = state.stream_origins->find(keys, inferred_for, zones, yield);
    // A caller that names another attempt, or brings other content, is told so rather than guessed.
    if (known && derived && *known != *derived)
        return {};
    if (known)
        return {.origin = std::move(known), .source = "host"};
    const char* const source = derived ? "split" : "unknown";
    return {.origin = std::move(derived), .source = source};
}

} // namespace

bool continues_stream(const gateway_request& request) {
    return request.route->kind == settings::route_kind::stream && request.routed.resume_after.has_value();
}

bool begins_resumable_stream(const gateway_request& request) {
    return settings::is_resumable_stream(*request.route) && !request.origin;
}

const char* resolve_stream_origin(gateway_request& request, wire::yield_context yield) {
    if (!continues_stream(request))
        return nullptr;
    if (!request.origin) {
        found_origin found = find_origin(request, yield);
        request.origin = std::move(found.origin);
        request.origin_source = found.source;
    }
    request.state->metrics->count(request.origin ? "streams_resumed_total" : "streams_unknown_total");
    if (!request.origin)
        return unknown_version;
    const bool has_service = std::ranges::any_of(request.route->services, [&](const auto& choice) {
        return choice.service == request.origin->service;
    });
    return has_service ? nullptr : other_service;
}

const char* reason_without_version(const gateway_request& request) {
    if (!request.origin)
        return nullptr;
    if (request.origin->software_version.empty())
        return unknown_version;
    // Another host knows for itself which upstreams it reaches.
    const bool is_served = should_forward(request) ||
                           decision::is_version_listed(request.state->instances, request.origin->service,
                                                       request.origin->software_version);
    return is_served ? nullptr : version_gone;
}

namespace {

/// How long no record is written after the journal has not answered, so that streams don't wait in vain.
constexpr base::duration journal_pause = 1s;

bool is_journal_failing(const gateway_state& state) {
    return state.journal_failed_at && state.clock->now() - *state.journal_failed_at < journal_pause;
}

/// The versions of the service in the order in which the request's content prefers them. Empty if its splits
/// are not known.
std::vector<std::string> versions_in_order(const gateway_request& request) {
    const service_splits* const known = request.state->splits->find(request.service);
    if (known == nullptr || known->history.splits.empty())
        return {};
    return decision::versions_by_preference(known->history.splits.back(), split_key_of(request));
}

/// The version at which a stream may begin although no record of it can be written: the first in the
/// content's order, if it has an engine. Another one would be guessed wrongly once the first is back, and so
/// would any by splits that others have replaced.
std::optional<std::string> default_version(const gateway_request& request) {
    if (request.state->splits->are_newer_elsewhere())
        return std::nullopt;
    const auto versions = versions_in_order(request);
    const bool is_listed = !versions.empty() && has_listed_engine(request, request.service, versions.front());
    return is_listed ? std::optional(versions.front()) : std::nullopt;
}

/// Whether every host derives that a stream of the request began at the version.
bool is_derivable(const gateway_request& request, const std::string& version) {
    const version_splits& splits = *request.state->splits;
    const service_splits* const known = splits.find(request.service);
    return known != nullptr && known->routes.contains(request.route->name) &&
           services_of_streams(request).size() == 1 && splits.is_confirmed(request.service) &&
           decision::is_derivable(known->history, split_key_of(request), version);
}

host::journal_record journal_record_of(const gateway_request& request, const host::stream_origin& origin) {
    return {.keys = keys_of(request, request.routed.id),
            .origin = origin,
            .revision = request.journal.revisions,
            .lifetime = record_lifetime(request)};
}

bool write_journal(gateway_request& request, const host::stream_origin& origin, wire::yield_context yield) {
    gateway_state& state = *request.state;
    if (is_journal_failing(state))
        return false;
    // One stream at a time finds out whether the store is back.
    if (state.journal_failed_at)
        state.journal_failed_at = state.clock->now();
    const auto record = journal_record_of(request, origin);
    ++request.journal.revisions;
    request.journal.written.reset();
    request.journal.attempted = origin;
    const bool is_written = state.stream_journal->write(record, yield);
    if (is_written) {
        request.journal.written = origin;
        request.journal.is_unclear = false;
    }
    state.journal_failed_at = is_written ? std::nullopt : std::optional(state.clock->now());
    return is_written;
}

} // namespace

void await_splits(const gateway_request& request, wire::yield_context yield) {
    static constexpr base::duration max_time_since_start = 1s;
    static constexpr base::duration poll_interval = 5ms;
    const gateway_state& state = *request.state;
    while (begins_resumable_stream(request) && state.splits->find(request.service) == nullptr &&
           state.clock->now() - state.started < max_time_since_start && !is_wait_over(request))
        pause_request(request, poll_interval, yield);
}

version_choice choose_versions(const gateway_request& request) {
    const service_splits* const known = request.state->splits->find(request.service);
    version_choice choice;
    if (known != nullptr && decision::has_several_versions(known->history))
        choice.preferred = versions_in_order(request);
    if (is_journal_failing(*request.state))
        choice.only = default_version(request);
    return choice;
}

bool prepare_stream_origin(gateway_request& request, const std::string& software_version,
                           wire::yield_context yield) {
    if (!settings::is_resumable_stream(*request.route))
        return true;
    const host::stream_origin origin = {.service = request.service, .software_version = software_version};
    const bool is_recorded = request.journal.written == origin && !request.journal.is_unclear;
    const bool has_record = request.journal.attempted || request.journal.is_unclear;
    if (is_recorded || (!has_record && is_derivable(request, software_version)))
        return true;
    // A record that is not confirmed may be in the store all the same.
    const bool may_contradict = request.journal.may_contradict(origin);
    if (write_journal(request, origin, yield))
        return true;
    request.state->metrics->count("streams_not_journalled_total");
    // What began a stream that goes on is known, if only at some hosts.
    if (request.origin)
        return true;
    return !may_contradict && default_version(request) == software_version;
}

void did_forward_stream(gateway_request& request) {
    // More than a host writes for one attempt.
    static constexpr std::uint32_t revisions_elsewhere = 256;
    request.journal.is_unclear = true;
    request.journal.revisions += revisions_elsewhere;
}

void record_stream_origin(gateway_request& request, const std::string& software_version,
                          wire::yield_context yield) {
    if (!request.record.is_repeatable)
        return;
    if (!request.origin)
        request.origin =
            host::stream_origin{.service = request.service, .software_version = software_version};
    // The host whose caller it is tells the others: it decides whether the caller gets the events.
    if (request.forwarded_by || software_version.empty())
        return;
    const auto record = journal_record_of(request, *request.origin);
    // While several versions serve, a record by the attempt's id tells the stream from others with its
    // content. It need not be there before the first event, as the version can be derived.
    const bool is_recorded_late = !request.journal.written && has_several_versions(request);
    if (is_recorded_late)
        request.state->stream_journal->write_later({record});
    request.state->recent_streams.add(record, request.journal.written || is_recorded_late,
                                      request.state->clock->now());
    const std::string& first_id = continues_stream(request) && !request.routed.resumes.empty()
                                      ? request.routed.resumes
                                      : request.routed.id;
    request.state->stream_origins->record(keys_of(request, first_id), *request.origin,
                                          record_lifetime(request),
                                          placement_limits_of(request).allowed_zones, yield);
}

void record_older_streams(gateway_state& state, const std::string& service) {
    const service_splits* const known = state.splits->find(service);
    if (known == nullptr)
        return;
    const auto is_needed = [&](const host::journal_record& record) {
        return record.origin.service == service &&
               !decision::is_derivable(known->history, host::number_of(record.keys.by_content),
                                       record.origin.software_version);
    };
    const auto records = state.recent_streams.take_unrecorded(is_needed, state.clock->now());
    if (!records.empty())
        state.stream_journal->write_later(records);
}

} // namespace postpaddle::gateway
