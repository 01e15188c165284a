// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/instance_table.h>

/// Loads of plain upstreams, as their responses to all hosts report them.
///
/// Between two responses a load is corrected by the requests that this host has sent and finished since.
namespace postpaddle::decision {

/// Age from which a load is ignored.
inline constexpr base::duration plain_load_lifetime = std::chrono::milliseconds(500);
/// Upper bound of running requests, waiting requests and slots; higher reported values are invalid.
inline constexpr int max_plain_requests = 100'000;

/// What a response with a load says of the request that it answers.
enum class plain_response {
    executed, ///< It ran, so it may be among the requests reported as running.
    refused,  ///< It did not run, as the upstream was full.
    declined, ///< It did not run for another reason: a back-off, a rate limit, or the upstream is leaving.
};

/// Records that this host sent a request to the instance.
void record_plain_start(instance& target, base::time_point now);

/// Records that such a request has ended. Call before its load is recorded.
void record_plain_end(instance& target, base::time_point now);

/// Records the load in a response to this host.
void record_plain_load(instance& target, const instance_load& load, plain_response response,
                       base::time_point now);

/// Applies the load in a response to another host, `source`; ignored if a newer one is known.
void receive_plain_load(instance& target, const instance_load& load, base::time_point observed_at,
                        base::time_point now, const base::host_id& source = {});

/// Whether a load is known and recent enough to be used.
[[nodiscard]] bool is_plain_load_known(const instance& target, base::time_point now);

/// Running and waiting requests now; at least those that this host has sent and that have no answer yet.
[[nodiscard]] int plain_requests(const instance& target, base::time_point now);

/// Requests that remain of the last known load if none was sent since and one ends per `seconds_per_end`.
[[nodiscard]] double last_plain_requests(const instance& target, double seconds_per_end,
                                         base::time_point now);

/// Slots by the last report, or by the registry if there is none; at least 1.
[[nodiscard]] int plain_slots(const instance& target);

/// Current processing time relative to the usual one; 1 if unknown.
[[nodiscard]] double plain_relative_latency(const instance& target, base::time_point now);

/// The load to report to other hosts: the latest one in a response to this host, if that is younger than
/// `max_age` and no other host is known to have received a newer one. Includes the requests that this host
/// has sent since.
[[nodiscard]] std::optional<instance_load> plain_load_to_report(const instance& target,
                                                                base::duration max_age, base::time_point now);

} // namespace postpaddle::decision
