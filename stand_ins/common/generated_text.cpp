// SPDX-License-Identifier: BSD-2-Clause
#include <common/generated_text.h>

#include <base/hashing.h>

#include <algorithm>
#include <charconv>

namespace postpaddle::stand_in {

namespace {

constexpr std::string_view token_prefix = " w";
/// Before truncation, the length of a completion is at least `min_percent` and less than
/// `min_percent + percent_range` percent of the token limit.
constexpr int min_percent = 40;
constexpr int percent_range = 80;
constexpr int hundred = 100;

std::string prompt_digest_of(std::string_view prompt) {
    static constexpr std::size_t digest_length = 8;
    return base::sha256_hex(prompt).substr(0, digest_length);
}

/// Length of a completion in tokens before truncation at `max_tokens`.
int untruncated_length(std::string_view prompt_digest, int max_tokens) {
    const auto percent = min_percent + static_cast<int>(base::hash64(prompt_digest) % percent_range);
    return std::max(1, max_tokens * percent / hundred);
}

/// Returns the position of the generated token that the prompt ends with, or -1 if there is none or if it was
/// generated for another prompt. Sets `base_prompt` to the prompt without its generated tokens.
int last_generated_position(std::string_view prompt, std::string& base_prompt) {
    const auto last = prompt.rfind(token_prefix);
    if (last == std::string_view::npos)
        return -1;
    const std::string_view token = prompt.substr(last + token_prefix.size());
    const auto dot = token.find('.');
    if (dot == std::string_view::npos)
        return -1;
    int position = -1;
    const auto [rest, error] = std::from_chars(token.data() + dot + 1, token.data() + token.size(), position);
    if (error != std::errc{} || rest != token.data() + token.size())
        return -1;
    const std::string first_token = std::string(token_prefix) + std::string(token.substr(0, dot)) + ".0 ";
    const auto start = (std::string(prompt) + " ").find(first_token);
    if (start == std::string::npos)
        return -1;
    base_prompt = std::string(prompt.substr(0, start));
    return prompt_digest_of(base_prompt) == token.substr(0, dot) ? position : -1;
}

} // namespace

std::string prompt_text(const nlohmann::json& body) {
    if (body.contains("prompt"))
        return body["prompt"].get<std::string>();
    std::string text;
    const auto& messages = body.at("messages");
    const bool is_continuation = body.value("continue_final_message", false);
    for (std::size_t index = 0; index < messages.size(); ++index) {
        const bool is_partial_answer = is_continuation && index + 1 == messages.size();
        if (!is_partial_answer)
            text += messages[index].at("role").get<std::string>();
        text += messages[index].at("content").get<std::string>();
    }
    return text;
}

generation_plan plan_generation(std::string_view prompt, int max_tokens) {
    generation_plan plan;
    std::string base_prompt;
    const int last = last_generated_position(prompt, base_prompt);
    if (last < 0)
        base_prompt = std::string(prompt);
    plan.first_position = last + 1;
    plan.prompt_digest = prompt_digest_of(base_prompt);
    const int limit = max_tokens + plan.first_position;
    const int untruncated = untruncated_length(plan.prompt_digest, limit);
    plan.end_position = std::min(untruncated, limit);
    plan.is_truncated = untruncated > limit;
    return plan;
}

std::string token_text(const generation_plan& plan, int position) {
    return std::string(token_prefix) + plan.prompt_digest + "." + std::to_string(position);
}

std::string expected_completion(std::string_view prompt, int max_tokens) {
    const generation_plan plan = plan_generation(prompt, max_tokens);
    std::string text;
    for (int position = plan.first_position; position < plan.end_position; ++position)
        text += token_text(plan, position);
    return text;
}

} // namespace postpaddle::stand_in
