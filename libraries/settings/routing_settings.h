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

/// Delivery semantics of a route's requests.
enum class route_kind {
    repeatable,   ///< May be executed more than once.
    at_most_once, ///< Executed at most once.
    stream,       ///< Answered by an event stream; repeatable only if the route is resumable.
};

/// A service that receives part of a route's requests.
struct weighted_service {
    std::string service;
    double weight = 1; ///< Relative to the other services of the route.

    bool operator==(const weighted_service&) const = default;
};

/// How requests for a host name and a path prefix are served.
struct route_entry {
    std::string name;
    std::string host;        ///< Lower case, without port.
    std::string path_prefix; ///< Starts and ends with a slash.
    route_kind kind = route_kind::repeatable;
    bool is_resumable = false; ///< A broken stream may be resumed at another upstream.
    std::chrono::milliseconds time_limit{30'000};
    std::chrono::milliseconds latency_target{1'000}; ///< To the complete response or a stream's first event.
    std::chrono::milliseconds gap_target{300};       ///< Between two consecutive events of a stream.
    int priority = 0;                                ///< 0 is the highest.
    int max_attempts = 1;                            ///< Upstreams that a request may be sent to.
    std::vector<weighted_service> services;
    bool is_public = false;                    ///< Requires no key, even if other routes do.
    std::set<base::region_id> allowed_regions; ///< For requests and data derived from them; empty: all.

    bool operator==(const route_entry&) const = default;
};

/// Whether the route's answers are streams that a caller may take up again.
[[nodiscard]] inline bool is_resumable_stream(const route_entry& route) {
    return route.kind == route_kind::stream && route.is_resumable;
}

/// Capacity and timing of a service's model engines.
struct engine_capacity {
    int slots = 1;                               ///< Requests that an engine runs concurrently.
    int kv_tokens = 0;                           ///< KV cache capacity of an engine, in tokens.
    int tokens_per_event = 1;                    ///< Output tokens in one event of a stream.
    std::chrono::milliseconds kv_retention{500}; ///< How long a prefill result is retained to be fetched.
    std::chrono::milliseconds stage_change_duration{0}; ///< Downtime of a stage change; 0: not supported.

    bool operator==(const engine_capacity&) const = default;
};

/// A group of interchangeable upstreams.
struct service_entry {
    std::string name;
    int max_connections = 100;               ///< To one upstream, from all hosts together.
    std::chrono::milliseconds cold_start{0}; ///< Time for which an upstream is cold after its start.
    double cold_requests_per_second = 0;     ///< To one cold upstream, from all hosts together; 0: unlimited.
    std::optional<engine_capacity> engine;

    bool operator==(const service_entry&) const = default;
};

/// Limits on what callers send.
struct caller_limits {
    std::size_t header_bytes = 16UL * 1024;
    std::size_t body_bytes = 4UL * 1024 * 1024;
    std::chrono::milliseconds header_timeout{3'000};
    std::chrono::milliseconds idle_timeout{15'000};

    bool operator==(const caller_limits&) const = default;
};

/// Unit of an organisation's usage limit.
enum class usage_unit { requests, tokens };

/// Token bucket that limits an organisation's usage on all hosts together.
struct usage_limit {
    double per_second = 0; ///< Refill rate; 0: no limit.
    double burst = 0;      ///< Capacity of the bucket.
    usage_unit unit = usage_unit::requests;
    double default_tokens = 0; ///< Charged for a request that does not report its token usage.

    bool operator==(const usage_limit&) const = default;
};

/// Priority, limit and allowed regions of an organisation.
struct organisation_entry {
    base::organisation_id id;
    int priority = 0; ///< 0 is the highest; takes precedence over the route's.
    usage_limit limit;
    std::set<base::region_id> allowed_regions; ///< As for a route; if both are set, both apply.

    bool operator==(const organisation_entry&) const = default;
};

/// One version of the operator's routing configuration; immutable once parsed.
struct routing_settings {
    std::uint64_t version = 0; ///< Increases with each accepted document.
    std::vector<route_entry> routes;
    std::map<std::string, service_entry> services;
    caller_limits limits;
    bool requires_keys = false; ///< Requests require an organisation's key, except on public routes.
    std::map<base::organisation_id, organisation_entry> organisations;
    key_table keys;

    bool operator==(const routing_settings&) const = default;
};

/// Processing stage that an engine serves.
enum class engine_stage { none, prefill, decode, both };

/// Upper bound on an upstream's concurrent requests; entries with more are malformed.
inline constexpr std::uint64_t max_slots = 1'000'000;

/// Registry entry of an upstream. Its id and start time identify one incarnation of a server.
struct upstream_entry {
    base::upstream_id id;
    std::string service;
    std::string software_version; ///< Of the server's program, not of its weights; empty if unknown.
    std::string address;          ///< IP number and port.
    base::zone_id availability_zone;
    int slots = 1;
    engine_stage stage = engine_stage::none;
    bool is_leaving = false;
    std::uint64_t sequence = 0;      ///< Increases with each heartbeat; starts over when the server restarts.
    std::uint64_t start_time_ms = 0; ///< Unix time; 0 if the registry does not report it.
    std::chrono::milliseconds cold_remaining{0}; ///< Remaining cold time when the entry was written.

    bool operator==(const upstream_entry&) const = default;
};

} // namespace postpaddle::settings
