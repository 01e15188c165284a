// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <wire/http_message.h>

#include <nlohmann/json.hpp>

#include <string>

namespace postpaddle::stand_in {

/// How an answer ended.
enum class answer_end {
    sent,        ///< As far as its reader wanted it.
    broken_off,  ///< By the server itself.
    without_end, ///< By its reader; the server would have sent without end.
};

/// File of the requests that a server received, a JSON object a line. Each line is written at once, so that
/// what a server ran is known after it was killed.
///
/// An arrival has `number`, `at_ms`, `attempt`, `is_prefill`, `runs` and `refused_with` (a status or 0); an
/// end has `number`, `at_ms`, `is_broken_off` and `is_endless`. Times are of the boot clock.
class run_log {
public:
    /// An empty path writes nothing. Exits the process if the file can't be opened.
    explicit run_log(const std::string& path);
    run_log(const run_log&) = delete;
    run_log(run_log&&) = delete;
    run_log& operator=(const run_log&) = delete;
    run_log& operator=(run_log&&) = delete;
    ~run_log();

    [[nodiscard]] bool is_open() const { return this->descriptor >= 0; }
    /// Returns the arrival's number.
    int write_arrival(const wire::http_request& request, bool is_prefill, int refused_with,
                      base::time_point now);
    void write_end(int number, answer_end end, base::time_point now);

private:
    void write_line(const nlohmann::json& line) const;

    int descriptor = -1;
    int arrivals = 0;
};

} // namespace postpaddle::stand_in
