// SPDX-License-Identifier: BSD-2-Clause
#include <service/prompt_facts.h>

#include <base/hashing.h>

#include <algorithm>

namespace postpaddle::service {

namespace {

using wire::json;

constexpr std::size_t bytes_per_token = 4;
/// Prompt bytes covered by each further prefix hash.
constexpr std::size_t block_bytes = 1024;
constexpr std::size_t max_blocks = 32;
constexpr int default_max_tokens = 256;

tl::unexpected<std::string> invalid(std::string what) { return tl::make_unexpected(std::move(what)); }

tl::expected<std::string, std::string> read_messages(const json& body) {
    if (!body.contains("messages") || !body["messages"].is_array() || body["messages"].empty())
        return invalid("`messages` must be an array that is not empty.");
    std::string text;
    for (const json& message : body["messages"]) {
        const bool is_readable = message.is_object() && message.contains("role") &&
                                 message["role"].is_string() && message.contains("content");
        if (!is_readable)
            return invalid("Each message needs `role` and `content`.");
        const json& content = message["content"];
        text += message["role"].get<std::string>();
        text += content.is_string() ? content.get<std::string>() : content.dump();
    }
    return text;
}

tl::expected<std::string, std::string> read_text(const json& body, wire::completion_api api) {
    if (api == wire::completion_api::chat)
        return read_messages(body);
    if (!body.contains("prompt") || !body["prompt"].is_string())
        return invalid("`prompt` must be a string.");
    return body["prompt"].get<std::string>();
}

std::vector<std::uint64_t> prefix_hashes_of(std::string_view text, std::uint64_t salt) {
    std::vector<std::uint64_t> hashes;
    std::uint64_t chain = salt;
    for (std::size_t start = 0; start + block_bytes <= text.size() && hashes.size() < max_blocks;
         start += block_bytes) {
        chain = base::hash64(text.substr(start, block_bytes), chain);
        hashes.push_back(chain);
    }
    return hashes;
}

} // namespace

tl::expected<prompt_facts, std::string> read_prompt(const json& body, wire::completion_api api,
                                                    const settings::organisation_policy& policy) {
    prompt_facts prompt;
    if (!body.contains("model") || !body["model"].is_string())
        return invalid("`model` must be a string.");
    prompt.model = body["model"].get<std::string>();
    auto text = read_text(body, api);
    if (!text)
        return invalid(text.error());
    prompt.text = std::move(*text);
    const char* const limit_name =
        body.contains("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
    prompt.max_tokens = std::min(default_max_tokens, policy.limits.max_output_tokens);
    if (body.contains(limit_name) && !body[limit_name].is_null()) {
        if (!body[limit_name].is_number_integer() || body[limit_name].get<std::int64_t>() < 1)
            return invalid(std::string("`") + limit_name + "` must be a whole number above 0.");
        prompt.max_tokens = static_cast<int>(
            std::min<std::int64_t>(body[limit_name].get<std::int64_t>(), policy.limits.max_output_tokens));
    }
    if (body.contains("n") && body["n"] != 1)
        return invalid("`n` must be 1.");
    if (body.contains("stream") && !body["stream"].is_boolean())
        return invalid("`stream` must be true or false.");
    prompt.is_streamed = body.value("stream", false);
    if (body.contains("stream_options") && body["stream_options"].is_object())
        prompt.wants_usage = body["stream_options"].value("include_usage", false);
    return prompt;
}

int estimate_tokens(std::string_view text) {
    return static_cast<int>(std::min<std::size_t>(text.size() / bytes_per_token + 1, 1'000'000'000));
}

decision::request_facts make_facts(const prompt_facts& prompt, const settings::organisation_policy& policy,
                                   const std::string& deployment) {
    decision::request_facts facts;
    facts.organisation = policy.id;
    facts.deployment = deployment;
    facts.prompt_tokens = estimate_tokens(prompt.text);
    facts.max_tokens = prompt.max_tokens;
    facts.prefix_hashes = prefix_hashes_of(prompt.text, base::hash64(policy.id.value + "\n" + deployment));
    facts.prefix_block_tokens = static_cast<int>(block_bytes / bytes_per_token);
    facts.priority = policy.priority;
    facts.weight = policy.weight;
    facts.waste_weight = policy.waste_weight;
    facts.first_token_target = policy.first_token_target;
    facts.per_token_target = policy.per_token_target;
    facts.max_queue_time = policy.limits.max_queue_time;
    return facts;
}

std::string cache_salt_of(const base::organisation_id& organisation) {
    return base::sha256_hex("cache-salt:" + organisation.value);
}

} // namespace postpaddle::service
