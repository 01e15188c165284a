// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <service/run_outcome.h>
#include <wire/http_message.h>

#include <map>
#include <string>

namespace postpaddle::service {

/// An answer that is not a success (RFC 9457).
struct problem_answer {
    int status = 500;
    std::string name;  ///< Last part of the problem's type, such as `over-limit`.
    std::string title; ///< The same for every answer of that type.
    std::string detail;
    run_outcome outcome = run_outcome::not_run;
    base::duration retry_after{};               ///< Zero where a retry makes no sense.
    std::map<std::string, std::string> members; ///< Further members of the body.

    bool operator==(const problem_answer&) const = default;
};

/// Word of an outcome, as in `Postpaddle-Outcome`.
[[nodiscard]] const char* to_text(run_outcome outcome);

/// The HTTP response of a problem.
[[nodiscard]] wire::http_response to_response(const problem_answer& problem, const std::string& request_id);

/// The data of the event that ends a broken stream.
[[nodiscard]] std::string to_error_event(const problem_answer& problem, const std::string& request_id);

/// Problems that several filters answer with.
[[nodiscard]] problem_answer overloaded_problem(std::string detail);

} // namespace postpaddle::service
