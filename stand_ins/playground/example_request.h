// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace postpaddle::stand_in {

/// What came of one example request.
struct example_result {
    std::string name;
    int status = 0;
    std::string outcome;
    bool is_whole = false; ///< The whole answer to this very request.
    std::string prefill;
    std::string decode;
    double first_token_ms = 0;
    double per_token_ms = 0;
    std::string text; ///< Start of the answer.
};

/// Example requests of a file, one JSON object a line; throws where a line is none.
[[nodiscard]] std::vector<nlohmann::json> read_examples(const std::string& path);

/// Sends one example request to a host's callers' address.
[[nodiscard]] example_result send_example(const std::string& address, const nlohmann::json& example);

/// JSON row of a result.
[[nodiscard]] nlohmann::json to_json(const example_result& result);

} // namespace postpaddle::stand_in
