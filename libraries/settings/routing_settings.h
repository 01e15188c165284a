// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/identifier.h>
#include <settings/key_table.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace postpaddle::settings {

/// What may be done with a route's requests.
enum class route_kind {
    repeatable,   ///< May run more than once.
    at_most_once, ///< Runs once or not at all.
    stream,       ///< Answered by a series of events; repeatable only where the route is resumable.
};

/// Part of a route's requests that goes to a service.
struct weighted_service {
    std::string service;
    double weight = 1; ///< Against the other services of the route.

    bool operator==(const weighted_service&) const = default;
};

/// Requests of one host name below one path, and how they are served.
struct route_settings_entry {
    std::string name;
    std::string host;        ///< Lower case, no port.
    std::string path_prefix; ///< Begins and ends with a slash.
    route_kind kind = route_kind::repeatable;
    bool is_resumable = false; ///< A broken stream may go on at another upstream.
    std::chrono::milliseconds time_limit{30'000};
    std::chrono::milliseconds latency_target{1'000}; ///< To the whole answer, or to a stream's first event.
    std::chrono::milliseconds gap_target{300};       ///< Longest pause between two events of a stream.
    int priority = 0;                                ///< 0 is the highest.
    int most_attempts = 1;                           ///< Upstreams that one request may be sent to.
    std::vector<weighted_service> services;
    bool is_public = false;                    ///< Needs no key, whatever other routes need.
    std::set<base::region_id> allowed_regions; ///< Requests and what is made of them stay there; empty: all.

    bool operator==(const route_settings_entry&) const = default;
};

/// What a service's model engines can hold.
struct engine_capacity {
    int places = 1;                             ///< Requests that run at once.
    int kv_tokens = 0;                          ///< Tokens that an engine's memory holds.
    int tokens_an_event = 1;                    ///< Output tokens that one event of a stream holds.
    std::chrono::milliseconds kept_prompt{500}; ///< How long a prompt that was read waits to be fetched.
    std::chrono::milliseconds stage_change{
        0}; ///< How long an engine is away to change its stage; 0: it can't.

    bool operator==(const engine_capacity&) const = default;
};

/// Upstreams of one kind.
struct service_entry {
    std::string name;
    int most_connections = 100;              ///< Of one upstream, from all hosts together.
    std::chrono::milliseconds cold_start{0}; ///< How long an upstream is cold after its start.
    double cold_requests = 0; ///< A second, that a cold one bears from all hosts together; 0: no bound.
    std::optional<engine_capacity> engine;

    bool operator==(const service_entry&) const = default;
};

/// Bounds on what callers send.
struct caller_limits {
    std::size_t header_bytes = 16UL * 1024;
    std::size_t body_bytes = 4UL * 1024 * 1024;
    std::chrono::milliseconds header_time{3'000};
    std::chrono::milliseconds idle_time{15'000};

    bool operator==(const caller_limits&) const = default;
};

/// What an organisation's requests are counted in.
enum class usage_unit { requests, tokens };

/// What an organisation may have run, over all hosts together: a bucket of `burst` that fills with time.
struct usage_limit {
    double per_second = 0; ///< 0: no limit.
    double burst = 0;
    usage_unit unit = usage_unit::requests;
    double plain_tokens = 0; ///< That a request counts which tells no token numbers.

    bool operator==(const usage_limit&) const = default;
};

/// An organisation as the platform's operator names it.
struct routed_organisation {
    base::organisation_id id;
    int priority = 0; ///< 0 is the highest; goes before a route's.
    usage_limit limit;
    std::set<base::region_id> allowed_regions; ///< As of a route; where both name some, both bind.

    bool operator==(const routed_organisation&) const = default;
};

/// One version of what the operator wants served. Never changed once read.
struct routing_settings {
    std::uint64_t version = 0; ///< Rises from one accepted document to the next.
    std::vector<route_settings_entry> routes;
    std::map<std::string, service_entry> services;
    caller_limits limits;
    bool wants_keys = false; ///< Requests need an organisation's key, except on public routes.
    std::map<base::organisation_id, routed_organisation> organisations;
    key_table keys;

    bool operator==(const routing_settings&) const = default;
};

/// What an engine does for a request.
enum class engine_stage { none, prefill, decode, both };

/// What the registry says of an upstream. Its id and `born` together name one start of a server.
struct upstream_entry {
    base::upstream_id id;
    std::string service;
    std::string address; ///< IP number and port.
    base::zone_id availability_zone;
    int places = 1;
    engine_stage stage = engine_stage::none;
    bool is_leaving = false;
    std::uint64_t sequence = 0; ///< Rises with each heartbeat of one start; the next start counts anew.
    std::uint64_t born = 0;     ///< Unix time of the start in ms; 0 where the platform tells none.
    std::chrono::milliseconds cold_remaining{0}; ///< That it stays cold, when it wrote this.

    bool operator==(const upstream_entry&) const = default;
};

} // namespace postpaddle::settings
