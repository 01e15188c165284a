// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <base/identifier.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

namespace postpaddle::service {

/// How a request ended, as counted in the metrics.
enum class request_end { complete, refused, failed, unknown, cancelled };

/// Measurements of one ended request.
struct request_observation {
    base::organisation_id organisation;
    request_end end = request_end::complete;
    int tokens = 0;
    bool has_first_token = false;
    base::duration first_token{}; ///< From the request's arrival.
    base::duration per_token{};   ///< Mean time between tokens; zero below two tokens.
};

/// Counters of the process, updated by all threads without locking.
struct process_counters {
    std::atomic<std::uint64_t> connections{0};
    std::atomic<std::uint64_t> unauthorised{0};
    std::atomic<std::uint64_t> over_limit{0};
    std::atomic<std::uint64_t> upstream_exits{0};
    std::atomic<std::uint64_t> quarantined_requests{0};
    std::atomic<std::uint64_t> ring_full{0};
    std::atomic<std::uint64_t> slow_readers{0};
    std::atomic<std::uint64_t> malformed_answers{0};
    std::atomic<std::uint64_t> mismatched_answers{0};
    std::atomic<std::uint64_t> late_answers{0};
    std::atomic<std::uint64_t> releases_sent{0};
    std::atomic<std::uint64_t> abandoned_releases{0};
    std::atomic<std::uint64_t> orphans_cancelled{0};
    std::atomic<std::uint64_t> claims{0};
    std::atomic<std::uint64_t> claims_refused{0};
    std::atomic<std::uint64_t> log_appends{0};
    std::atomic<std::uint64_t> control_bytes{0};
    std::atomic<std::uint64_t> lost_settings{0};
    std::atomic<std::int64_t> requests_in_progress{0};
};

/// Metrics of the process, exported in the Prometheus text format.
class metrics {
public:
    metrics();
    metrics(const metrics&) = delete;
    metrics(metrics&&) = delete;
    metrics& operator=(const metrics&) = delete;
    metrics& operator=(metrics&&) = delete;
    ~metrics();

    /// Records an ended request. Once the maximum number of series is reached, further organisations share
    /// one.
    void observe(const request_observation& observation);
    /// Returns all metrics in the Prometheus text format, version 0.0.4.
    [[nodiscard]] std::string text() const;
    process_counters counters;

private:
    struct implementation;
    mutable std::mutex mutex;
    std::unique_ptr<implementation> impl;
};

} // namespace postpaddle::service
