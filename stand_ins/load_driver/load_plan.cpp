// SPDX-License-Identifier: BSD-2-Clause
#include <load_driver/load_plan.h>

#include <algorithm>
#include <chrono>

namespace postpaddle::stand_in {

namespace {

constexpr std::size_t bytes_per_token = 4;

request_class parse_class(const nlohmann::json& value) {
    request_class item;
    item.organisation = value.value("organisation", "");
    item.key = value.value("key", "");
    item.model = value.value("model", "");
    item.weight = value.value("weight", 1.0);
    item.min_prompt_tokens = value.value("least_prompt_tokens", item.min_prompt_tokens);
    item.max_prompt_tokens = value.value("most_prompt_tokens", item.max_prompt_tokens);
    item.shared_prefix_tokens = value.value("shared_prefix_tokens", 0);
    item.max_tokens = value.value("max_tokens", item.max_tokens);
    return item;
}

/// Random text, so that no two prompts have a prefix in common by chance.
std::string make_text(std::mt19937_64& random, int tokens) {
    std::string text;
    const auto bytes = static_cast<std::size_t>(tokens) * bytes_per_token;
    text.reserve(bytes);
    while (text.size() < bytes)
        text += std::to_string(random() % 1'000'000) + ", ";
    text.resize(bytes);
    return text;
}

/// A version 7 UUID of the current time. Source: RFC 9562, section 5.7.
std::string make_idempotency_key(std::mt19937_64& random) {
    static constexpr std::string_view digits = "0123456789abcdef";
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count();
    std::string hexadecimal;
    for (int shift = 44; shift >= 0; shift -= 4)
        hexadecimal += digits[static_cast<std::size_t>(now >> shift) & 15U];
    while (hexadecimal.size() < 32)
        hexadecimal += digits[random() % 16];
    hexadecimal[12] = '7';
    hexadecimal[16] = '8';
    return hexadecimal.substr(0, 8) + "-" + hexadecimal.substr(8, 4) + "-" + hexadecimal.substr(12, 4) + "-" +
           hexadecimal.substr(16, 4) + "-" + hexadecimal.substr(20);
}

} // namespace

load_plan parse_plan(const nlohmann::json& value) {
    load_plan plan;
    plan.hosts = value.at("hosts").get<std::vector<std::string>>();
    for (const auto& item : value.at("classes"))
        plan.classes.push_back(parse_class(item));
    plan.rate = value.value("rate", plan.rate);
    plan.seconds = value.value("seconds", plan.seconds);
    plan.seed = value.value("seed", plan.seed);
    plan.cancel_fraction = value.value("cancel_fraction", 0.0);
    plan.first_token_target_ms = value.value("first_token_target_ms", plan.first_token_target_ms);
    plan.per_token_target_ms = value.value("per_token_target_ms", plan.per_token_target_ms);
    plan.warm_up_seconds = value.value("warm_up_seconds", 0.0);
    plan.is_direct = value.value("direct", false);
    plan.path = value.value("path", plan.path);
    plan.has_idempotency_keys = value.value("idempotency_keys", false);
    return plan;
}

std::vector<planned_request> make_requests(const load_plan& plan) {
    std::mt19937_64 random(plan.seed);
    std::exponential_distribution<double> interarrival_time(plan.rate);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::vector<double> weights;
    std::vector<std::string> prefixes;
    for (const request_class& item : plan.classes) {
        weights.push_back(item.weight);
        prefixes.push_back(make_text(random, item.shared_prefix_tokens));
    }
    std::discrete_distribution<std::size_t> class_distribution(weights.begin(), weights.end());
    std::vector<planned_request> requests;
    for (double at = interarrival_time(random); at < plan.seconds; at += interarrival_time(random)) {
        planned_request request;
        request.at = at;
        request.class_index = class_distribution(random);
        request.host_index = random() % plan.hosts.size();
        const request_class& item = plan.classes[request.class_index];
        std::uniform_int_distribution<int> length(item.min_prompt_tokens, item.max_prompt_tokens);
        const int unique_tokens = std::max(8, length(random) - item.shared_prefix_tokens);
        request.prompt = prefixes[request.class_index] + make_text(random, unique_tokens);
        if (uniform(random) < plan.cancel_fraction)
            request.cancel_after = uniform(random) * 1.5;
        if (plan.has_idempotency_keys)
            request.idempotency_key = make_idempotency_key(random);
        requests.push_back(std::move(request));
    }
    return requests;
}

} // namespace postpaddle::stand_in
