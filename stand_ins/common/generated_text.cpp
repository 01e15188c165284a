// SPDX-License-Identifier: BSD-2-Clause
#include <common/generated_text.h>

#include <base/hashing.h>

#include <algorithm>
#include <charconv>

namespace postpaddle::stand_in {

namespace {

constexpr std::string_view token_start = " w";
/// An answer has between these parts, in hundredths, of the tokens that were asked for.
constexpr int least_percent = 40;
constexpr int percent_spread = 80;
constexpr int hundred = 100;

std::string mark_of(std::string_view prompt) {
    static constexpr std::size_t mark_length = 8;
    return base::sha256_hex(prompt).substr(0, mark_length);
}

/// Tokens that a prompt would have with no limit but the one asked for.
int natural_length(std::string_view mark, int max_tokens) {
    const auto percent = least_percent + static_cast<int>(base::hash64(mark) % percent_spread);
    return std::max(1, max_tokens * percent / hundred);
}

/// Position of the token that the prompt ends with, when that is one made for this very prompt.
int trailing_position(std::string_view prompt, std::string& base_prompt) {
    const auto last = prompt.rfind(token_start);
    if (last == std::string_view::npos)
        return -1;
    const std::string_view token = prompt.substr(last + token_start.size());
    const auto dot = token.find('.');
    if (dot == std::string_view::npos)
        return -1;
    int position = -1;
    const auto [rest, error] = std::from_chars(token.data() + dot + 1, token.data() + token.size(), position);
    if (error != std::errc{} || rest != token.data() + token.size())
        return -1;
    const std::string first = std::string(token_start) + std::string(token.substr(0, dot)) + ".0 ";
    const auto start = (std::string(prompt) + " ").find(first);
    if (start == std::string::npos)
        return -1;
    base_prompt = std::string(prompt.substr(0, start));
    return mark_of(base_prompt) == token.substr(0, dot) ? position : -1;
}

} // namespace

std::string prompt_text(const nlohmann::json& body) {
    if (body.contains("prompt"))
        return body["prompt"].get<std::string>();
    std::string text;
    const auto& messages = body.at("messages");
    const bool goes_on = body.value("continue_final_message", false);
    for (std::size_t index = 0; index < messages.size(); ++index) {
        const bool is_started_answer = goes_on && index + 1 == messages.size();
        if (!is_started_answer)
            text += messages[index].at("role").get<std::string>();
        text += messages[index].at("content").get<std::string>();
    }
    return text;
}

generation plan_generation(std::string_view prompt, int max_tokens) {
    generation plan;
    std::string base_prompt;
    const int last = trailing_position(prompt, base_prompt);
    if (last < 0)
        base_prompt = std::string(prompt);
    plan.first = last + 1;
    plan.mark = mark_of(base_prompt);
    const int limit = max_tokens + plan.first;
    const int natural = natural_length(plan.mark, limit);
    plan.end = std::min(natural, limit);
    plan.is_cut = natural > limit;
    return plan;
}

std::string token_text(const generation& plan, int position) {
    return std::string(token_start) + plan.mark + "." + std::to_string(position);
}

std::string whole_answer(std::string_view prompt, int max_tokens) {
    const generation plan = plan_generation(prompt, max_tokens);
    std::string text;
    for (int position = plan.first; position < plan.end; ++position)
        text += token_text(plan, position);
    return text;
}

} // namespace postpaddle::stand_in
