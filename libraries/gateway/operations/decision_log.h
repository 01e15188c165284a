// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/bounded_ring.h>
#include <base/clock.h>

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace postpaddle::gateway {

struct decision_log_options {
    std::string host;
    std::string level = "info";
    int lines_per_second = 200; ///< Lines beyond this rate are dropped and counted.
    std::size_t capacity = 1024;
};

/// Writes one JSON object per line to standard output for each decision about a request and each change of
/// cached state.
///
/// Lines pass through a bounded ring to a writer thread, so a stalled reader of standard output loses lines
/// (which are counted) but never delays a request.
class decision_log {
public:
    decision_log(const base::clock& clock, const decision_log_options& options);
    decision_log(const decision_log&) = delete;
    decision_log(decision_log&&) = delete;
    decision_log& operator=(const decision_log&) = delete;
    decision_log& operator=(decision_log&&) = delete;
    ~decision_log();

    /// Writes a line unless the rate limit is exceeded.
    void write(const char* event, nlohmann::json fields);
    /// Writes a line regardless of the rate limit. For rare events: start, stop, reload, a dependency lost or
    /// regained.
    void write_always(const char* event, nlohmann::json fields);
    /// Number of lines dropped so far.
    [[nodiscard]] std::uint64_t dropped_lines() const { return this->dropped_count; }

private:
    [[nodiscard]] bool try_take_credit();
    void push(const char* event, nlohmann::json fields);
    void run();

    const base::clock* clock;
    decision_log_options options;
    base::bounded_ring<std::string> lines;
    double credit;
    base::time_point credit_updated_at{};
    std::uint64_t dropped_count = 0;
    std::uint64_t reported_dropped_count = 0;
    std::mutex mutex;
    std::condition_variable wake;
    bool has_lines = false;
    bool is_stopping = false;
    std::thread writer;
};

} // namespace postpaddle::gateway
