// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace postpaddle::stand_in {

/// Tokens that a stand-in engine generates for a prompt.
///
/// They depend only on the prompt and the token limit, so a client can check that a response is complete and
/// belongs to its request.
struct generation_plan {
    std::string prompt_digest; ///< Part of each token's text.
    int first_position = 0;    ///< Above 0 if the prompt ends with tokens generated earlier.
    int end_position = 0;      ///< One past the last position.
    bool is_truncated = false; ///< Ends at the token limit (`finish_reason` is `length`).
};

/// Prompt of a completion request, or the concatenated messages of a chat request.
[[nodiscard]] std::string prompt_text(const nlohmann::json& body);

/// Plans the tokens for a prompt. A prompt that ends with tokens generated earlier is continued after them.
[[nodiscard]] generation_plan plan_generation(std::string_view prompt, int max_tokens);

/// Text of the token at a position.
[[nodiscard]] std::string token_text(const generation_plan& plan, int position);

/// Complete text that a stand-in engine generates for a prompt.
[[nodiscard]] std::string expected_completion(std::string_view prompt, int max_tokens);

} // namespace postpaddle::stand_in
