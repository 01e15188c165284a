// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/load_report.h>
#include <wire/http_message.h>
#include <wire/wire_error.h>

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

/// HTTP interface of the model engines, which is that of open inference servers.
///
/// A prefill is a completion of one token. Its response contains `kv_transfer_params`, which are passed on in
/// the decode request (vLLM, "Disaggregated prefilling"). `priority`, `cache_salt` and
/// `continue_final_message` are vLLM's; `/abort_request` with `rid` is SGLang's.
namespace postpaddle::wire {

using json = nlohmann::json;

/// API that the caller uses.
enum class completion_api { completions, chat };

/// Returns the API's URL path.
[[nodiscard]] const char* path_of(completion_api api);

/// Identifies and describes an attempt in requests to engines.
struct engine_attempt {
    completion_api api = completion_api::completions;
    std::string attempt_id; ///< Sent as `X-Request-Id` and returned in `id`.
    std::string model;
    std::string cache_salt; ///< Separates organisations' prefix caches.
    int priority = 0;       ///< Lower values are served first.
};

/// Output already sent to the caller, for a stream that is resumed on another engine.
struct resume_point {
    std::string text;
    int tokens = 0;
};

struct prefill_response {
    int prompt_tokens = 0;
    int cached_tokens = 0;
    json kv_transfer_params;
};

/// Event of a decode engine's stream.
struct decode_event {
    enum class kind {
        token,  ///< Text of one token.
        finish, ///< The output is complete.
        usage,  ///< Token counts.
        done,   ///< End of the stream.
    };
    kind type = kind::token;
    std::string text;
    std::string finish_reason;
    int completion_tokens = 0;
};

/// Creates a request that processes the prompt and retains its KV cache.
[[nodiscard]] http_request make_prefill_request(const json& body, const engine_attempt& attempt,
                                                const resume_point& resume);
/// Parses a prefill response. Fails with `malformed` if it is invalid or belongs to another request.
[[nodiscard]] expected<prefill_response> parse_prefill_response(const std::string& text,
                                                                const engine_attempt& attempt);
/// Creates a request that fetches the retained KV cache and generates the output.
[[nodiscard]] http_request make_decode_request(const json& body, const engine_attempt& attempt,
                                               const json& kv_transfer_params, const resume_point& resume);
/// Parses the data of an event. Fails with `malformed` if it is invalid or belongs to another request.
[[nodiscard]] expected<decode_event> parse_decode_event(std::string_view data, const engine_attempt& attempt);
/// Replaces the attempt's id in an event's data by the request id that the caller knows.
[[nodiscard]] std::string with_public_id(std::string_view data, const std::string& attempt_id,
                                         const std::string& public_id);

/// Creates a request that aborts an attempt and frees its engine memory.
[[nodiscard]] http_request make_abort_request(const std::string& attempt_id);
/// Creates an order to change to a role, `prefill` or `decode`, with the fencing token of the issuer's lease.
[[nodiscard]] http_request make_role_order(const std::string& role, std::uint64_t token);
[[nodiscard]] http_request make_load_request();
[[nodiscard]] expected<decision::load_report> parse_load(const std::string& text);
/// Creates a request for the ids of the attempts that the engine runs or retains.
[[nodiscard]] http_request make_attempt_list_request();
[[nodiscard]] expected<std::vector<std::string>> parse_attempt_list(const std::string& text);

} // namespace postpaddle::wire
