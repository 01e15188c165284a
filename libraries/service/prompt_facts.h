// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/request_facts.h>
#include <settings/organisation_policy.h>
#include <wire/engine_adapter.h>

#include <tl/expected.hpp>

#include <string>

namespace postpaddle::service {

/// What a completion's body says.
struct prompt_facts {
    std::string model;
    std::string text; ///< All of the prompt, in order.
    int max_tokens = 0;
    bool is_streamed = false;
    bool wants_usage = false;
};

/// Reads and checks a completion's body; the error says what was wrong with it.
[[nodiscard]] tl::expected<prompt_facts, std::string>
read_prompt(const wire::json& body, wire::completion_api api, const settings::organisation_policy& policy);

/// Tokens of a text, estimated from its bytes.
[[nodiscard]] int estimate_tokens(std::string_view text);

/// What the decision needs of a prompt. Prefix hashes are salted with organisation and deployment, so
/// that no organisation's prompt is ever taken for another's.
[[nodiscard]] decision::request_facts make_facts(const prompt_facts& prompt,
                                                 const settings::organisation_policy& policy,
                                                 const std::string& deployment);

/// Salt that keeps an organisation's prefix cache apart on the engines.
[[nodiscard]] std::string cache_salt_of(const base::organisation_id& organisation);

} // namespace postpaddle::service
