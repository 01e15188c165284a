// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace postpaddle::stand_in {

/// One kind of request in the mix.
struct request_class {
    std::string organisation; ///< For the report.
    std::string key;
    std::string model;
    double weight = 1;
    int least_prompt_tokens = 64;
    int most_prompt_tokens = 64;
    int shared_prefix_tokens = 0; ///< Beginning that all requests of the class share.
    int max_tokens = 64;
};

/// What the driver sends.
struct load_plan {
    std::vector<std::string> hosts;
    std::vector<request_class> classes;
    double rate = 10; ///< Requests a second, Poisson.
    double seconds = 5;
    std::uint64_t seed = 1;
    double cancel_fraction = 0; ///< Callers that go away at a random time.
    double first_token_target_ms = 570;
    double per_token_target_ms = 34;
    double warm_up_seconds = 0; ///< Requests of this first time are not counted.
    bool is_direct = false;     ///< Straight to an engine: sets the id that a host would.
    std::string path = "/v1/completions";
    bool has_idempotency_keys = false; ///< Marks each request as not repeatable, with a key.
};

/// Plan from JSON.
[[nodiscard]] load_plan parse_plan(const nlohmann::json& value);

/// One request to send.
struct planned_request {
    double at = 0; ///< Seconds after the start.
    std::size_t class_index = 0;
    std::size_t host_index = 0;
    std::string prompt;
    double cancel_after = -1; ///< Seconds after it was sent; below 0 for never.
    std::string idempotency_key;
};

/// All requests of a plan, the same for the same seed.
[[nodiscard]] std::vector<planned_request> make_requests(const load_plan& plan);

} // namespace postpaddle::stand_in
