// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace postpaddle::stand_in {

/// A class of requests with the same organisation, model and range of lengths.
struct request_class {
    std::string organisation; ///< Name in the report.
    std::string key;          ///< API key.
    std::string model;
    double weight = 1; ///< Share of the requests, relative to the other classes.
    int min_prompt_tokens = 64;
    int max_prompt_tokens = 64;
    int shared_prefix_tokens = 0; ///< Length of the prefix that all prompts of the class share.
    int max_tokens = 64;
};

/// Load to send and the targets that its report counts against.
struct load_plan {
    std::vector<std::string> hosts; ///< Addresses.
    std::vector<request_class> classes;
    double rate = 10; ///< Mean requests per second of a Poisson process.
    double seconds = 5;
    std::uint64_t seed = 1;
    double cancel_fraction = 0; ///< Fraction of requests cancelled at a random time.
    double first_token_target_ms = 570;
    double per_token_target_ms = 34;
    double warm_up_seconds = 0; ///< Requests sent within this time are not counted.
    bool is_direct = false;     ///< The addresses are engines': sends the request id that a host would.
    std::string path = "/v1/completions";
    bool has_idempotency_keys = false; ///< Marks each request as not repeatable, with a key.
};

/// Parses a plan. Throws nlohmann::json::exception if `hosts` or `classes` is missing or a type is wrong.
[[nodiscard]] load_plan parse_plan(const nlohmann::json& value);

struct planned_request {
    double at = 0; ///< Seconds from the start of the run to the send.
    std::size_t class_index = 0;
    std::size_t host_index = 0;
    std::string prompt;
    double cancel_after = -1;    ///< Seconds from the send; negative for never.
    std::string idempotency_key; ///< Empty for a repeatable request.
};

/// Generates the requests of a plan. Everything but idempotency keys is determined by the seed.
[[nodiscard]] std::vector<planned_request> make_requests(const load_plan& plan);

} // namespace postpaddle::stand_in
