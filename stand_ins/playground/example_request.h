// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace postpaddle::stand_in {

/// Result of an example request.
struct example_result {
    std::string name;
    int status = 0;
    std::string outcome;
    bool is_complete = false; ///< The complete response to this request arrived.
    std::string prefill;      ///< Name of the prefill engine.
    std::string decode;       ///< Name of the decode engine.
    double first_token_ms = 0;
    double per_token_ms = 0;
    std::string text; ///< Start of the response's text.
};

/// Reads example requests from a file with one JSON object per line. Throws std::runtime_error if the file
/// cannot be read and nlohmann::json::parse_error for an invalid line.
[[nodiscard]] std::vector<nlohmann::json> read_examples(const std::string& path);

/// Sends an example request to a host's address for callers.
[[nodiscard]] example_result send_example(const std::string& address, const nlohmann::json& example);

[[nodiscard]] nlohmann::json to_json(const example_result& result);

} // namespace postpaddle::stand_in
