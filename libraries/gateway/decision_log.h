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

/// What a log is made of.
struct decision_log_options {
    std::string host;
    std::string level = "info";
    int lines_per_second = 200; ///< Lines beyond this are counted and left out.
    std::size_t capacity = 1024;
};

/// One JSON object a line on standard output, for each decision that touches a request or changes what the
/// process believes.
///
/// Lines are handed to a thread of their own through a bounded ring: a reader of standard output that stands
/// still loses lines, which are counted, and never holds up a request.
class decision_log {
public:
    decision_log(const base::clock& clock, const decision_log_options& options);
    decision_log(const decision_log&) = delete;
    decision_log(decision_log&&) = delete;
    decision_log& operator=(const decision_log&) = delete;
    decision_log& operator=(decision_log&&) = delete;
    ~decision_log();

    /// Writes a line about a request or a belief; left out beyond the bound on lines a second.
    void write(const char* event, nlohmann::json fields);
    /// Writes a line whatever the volume: start, stop, reload, a dependency lost or regained.
    void write_always(const char* event, nlohmann::json fields);
    /// Lines left out so far.
    [[nodiscard]] std::uint64_t left_out() const { return this->lines_left_out; }

private:
    [[nodiscard]] bool may_write();
    void push(const char* event, nlohmann::json fields);
    void run();

    const base::clock* clock;
    decision_log_options options;
    base::bounded_ring<std::string> lines;
    double credit;
    base::time_point credit_at{};
    std::uint64_t lines_left_out = 0;
    std::uint64_t left_out_told = 0;
    std::mutex mutex;
    std::condition_variable wake;
    bool has_lines = false;
    bool is_stopping = false;
    std::thread writer;
};

} // namespace postpaddle::gateway
