// SPDX-License-Identifier: BSD-2-Clause
#include <service/problem_details.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace postpaddle::service {

namespace {

using json = nlohmann::json;

constexpr const char* type_prefix = "urn:postpaddle:problem:";

json body_of(const problem_details& problem, const std::string& request_id) {
    json body = {{"type", type_prefix + problem.name},
                 {"title", problem.title},
                 {"status", problem.status},
                 {"detail", problem.detail},
                 {"outcome", to_text(problem.outcome)},
                 {"request_id", request_id}};
    for (const auto& [name, value] : problem.members)
        body[name] = value;
    return body;
}

} // namespace

const char* to_text(run_outcome outcome) {
    switch (outcome) {
    case run_outcome::not_run:
        return "not-run";
    case run_outcome::unknown:
        return "unknown";
    case run_outcome::failed:
        return "failed";
    }
    return "unknown";
}

wire::http_response to_response(const problem_details& problem, const std::string& request_id) {
    wire::http_response response;
    response.status = problem.status;
    response.headers = {{"Content-Type", "application/problem+json"},
                        {"Postpaddle-Outcome", to_text(problem.outcome)},
                        {"Postpaddle-Request-Id", request_id}};
    if (problem.retry_after > base::duration::zero()) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(problem.retry_after).count();
        response.headers.push_back({"Retry-After", std::to_string(std::max<std::int64_t>(1, seconds))});
    }
    response.body = body_of(problem, request_id).dump();
    return response;
}

std::string to_error_event(const problem_details& problem, const std::string& request_id) {
    const json error = {{"message", problem.detail.empty() ? problem.title : problem.detail},
                        {"type", problem.name},
                        {"code", problem.status},
                        {"outcome", to_text(problem.outcome)},
                        {"request_id", request_id}};
    return json{{"error", error}}.dump();
}

problem_details overloaded_problem(std::string detail) {
    return {503,
            "overloaded",
            "The host can't take the request now",
            std::move(detail),
            run_outcome::not_run,
            std::chrono::seconds(1),
            {}};
}

} // namespace postpaddle::service
