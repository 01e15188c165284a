// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>
#include <service/run_outcome.h>
#include <wire/http_message.h>

#include <map>
#include <string>

namespace postpaddle::service {

/// Error response in the problem details format (RFC 9457).
struct problem_details {
    int status = 500;
    std::string name;  ///< Last part of the problem type URN, such as `over-limit`.
    std::string title; ///< The same for every problem of this type.
    std::string detail;
    run_outcome outcome = run_outcome::not_run;
    base::duration retry_after{};               ///< Zero omits `Retry-After`.
    std::map<std::string, std::string> members; ///< Extension members of the body.

    bool operator==(const problem_details&) const = default;
};

/// Value of the `Postpaddle-Outcome` field.
[[nodiscard]] const char* to_text(run_outcome outcome);

[[nodiscard]] wire::http_response to_response(const problem_details& problem, const std::string& request_id);

/// Data of the error event that terminates a stream after its headers were sent.
[[nodiscard]] std::string to_error_event(const problem_details& problem, const std::string& request_id);

/// Problem for a request that is rejected because this host is overloaded.
[[nodiscard]] problem_details overloaded_problem(std::string detail);

} // namespace postpaddle::service
