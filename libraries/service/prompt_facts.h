// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/request_facts.h>
#include <settings/organisation_policy.h>
#include <wire/engine_adapter.h>

#include <tl/expected.hpp>

#include <string>

namespace postpaddle::service {

/// Fields parsed from the body of a completion request.
struct prompt_facts {
    std::string model;
    std::string text; ///< The prompt, or all messages concatenated in order.
    int max_tokens = 0;
    bool is_streamed = false;
    bool wants_usage = false;
};

/// Parses and validates the body of a completion request. The error is a message for the caller.
[[nodiscard]] tl::expected<prompt_facts, std::string>
read_prompt(const wire::json& body, wire::completion_api api, const settings::organisation_policy& policy);

/// Estimates the number of tokens of a text from its size in bytes.
[[nodiscard]] int estimate_tokens(std::string_view text);

/// Request facts for the decision. Prefix hashes are salted with organisation and deployment, so that
/// prompts of different organisations never match.
[[nodiscard]] decision::request_facts make_facts(const prompt_facts& prompt,
                                                 const settings::organisation_policy& policy,
                                                 const std::string& deployment);

/// Salt that isolates an organisation's entries in the prefix caches of the engines.
[[nodiscard]] std::string cache_salt_of(const base::organisation_id& organisation);

} // namespace postpaddle::service
