// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/stream_origin/request_origin.h>

#include <gateway/forwarding/forwarding_sender.h>
#include <gateway/stream_origin/stream_origin_exchange.h>

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
    if (!first_id.empty())
        keys.by_id = host::key_of_stream({.organisation = request.routed.organisation,
                                          .host = request.routed.host,
                                          .request_id = first_id});
    return keys;
}

std::optional<host::stream_origin> find_origin(gateway_request& request, wire::yield_context yield) {
    // With several services the stream may have begun at any of them.
    const auto& services = request.route->services;
    return request.state->stream_origins->find(keys_of(request, request.routed.resumes),
                                               services.size() == 1 ? services.front().service : "",
                                               placement_limits_of(request).allowed_zones, yield);
}

} // namespace

bool continues_stream(const gateway_request& request) {
    return request.route->kind == settings::route_kind::stream && request.routed.resume_after.has_value();
}

const char* resolve_stream_origin(gateway_request& request, wire::yield_context yield) {
    if (!continues_stream(request))
        return nullptr;
    if (!request.origin)
        request.origin = find_origin(request, yield);
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
    const std::string& first_id = continues_stream(request) && !request.routed.resumes.empty()
                                      ? request.routed.resumes
                                      : request.routed.id;
    const base::duration lifetime =
        std::max<base::duration>(request.route->time_limit, request.deadline - request.arrived) +
        record_margin;
    request.state->stream_origins->record(keys_of(request, first_id), *request.origin, lifetime,
                                          placement_limits_of(request).allowed_zones, yield);
}

} // namespace postpaddle::gateway
