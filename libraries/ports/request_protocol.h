// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/identifier.h>
#include <decision/instance_table.h>
#include <settings/routing_settings.h>
#include <wire/http_message.h>
#include <wire/wire_error.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Platform-independent interfaces that a platform adapter implements.
namespace postpaddle::ports {

/// A caller's request after decoding by the platform adapter.
struct routed_request {
    std::string id; ///< Attempt id chosen by the caller.
    std::string host;
    std::optional<std::chrono::milliseconds> time_left; ///< Remaining time until the caller's deadline.
    std::optional<std::uint64_t> resume_after;          ///< Last event received by the caller.
    std::string resumes; ///< Id of the attempt that brought the stream's first event; empty if not named.
    /// Ids of the prompt's parts that other requests may share, in order and without repetitions; bounded.
    std::vector<std::string> shared_parts;
    std::string prompt_key; ///< Identifies the prompt; the same for all attempts of a caller.
    double prompt_tokens = 0;
    double output_tokens = 0;           ///< Upper limit.
    double output_hint = 0;             ///< The caller's unreliable estimate; 0 if absent.
    bool has_token_usage = false;       ///< Whether the request states its token counts.
    std::string key_hash;               ///< Hash of the caller's API key; empty if missing or malformed.
    base::organisation_id organisation; ///< Owner of the key, forwarded to upstreams; empty if unknown.
    wire::http_request message;         ///< The original request without hop-by-hop headers.
};

/// A prefilled prompt whose KV cache an engine retains for a decode engine.
struct retained_prompt {
    base::upstream_id upstream;
    std::string address;
    std::string handle;

    bool operator==(const retained_prompt&) const = default;
};

/// Kind of work requested from an upstream.
enum class attempt_purpose {
    run,     ///< Generate the response.
    prefill, ///< Prefill the prompt and retain its KV cache.
};

/// One attempt of a request at one instance.
struct upstream_attempt {
    base::upstream_id instance{};
    attempt_purpose purpose = attempt_purpose::run;
    std::optional<std::chrono::milliseconds> time_left{};
    std::optional<retained_prompt> source{}; ///< Where the decode engine fetches the prompt's KV cache from.
    std::optional<std::uint64_t> resume_after{}; ///< Event after which the stream resumes.
};

/// Information decoded from the head of an upstream's response.
struct answer_facts {
    std::string request_id;         ///< Empty if absent.
    bool is_not_executed = false;   ///< The upstream states that it did not execute the request.
    bool is_other_instance = false; ///< The address now belongs to another instance.
    bool is_sealed = false;         ///< Carries the upstream's seal and has no content coding.
    std::optional<decision::instance_load> load;
    std::optional<std::chrono::milliseconds> cold_remaining; ///< Remaining warm-up time.
    std::optional<double> limit; ///< Accepted requests per second, summed over all hosts.
    std::optional<std::chrono::milliseconds> backoff; ///< Back-off that the upstream asks of this host.
    bool is_leaving = false;                          ///< The upstream is about to shut down.
    bool has_malformed_state = false;                 ///< The advertised limit or back-off is malformed.
};

/// Command that switches an engine to another stage.
struct stage_order {
    base::upstream_id engine;
    std::string address; ///< IP address and port.
    settings::engine_stage stage = settings::engine_stage::none;
    std::string holder;      ///< Holder of the lease that authorizes the order.
    std::uint64_t token = 0; ///< Fencing token of that lease.
    std::uint64_t expected_orders =
        0; ///< Precondition: number of orders that the engine has accepted so far.

    bool operator==(const stage_order&) const = default;
};

/// An engine's response to a stage order.
enum class order_answer {
    taken,      ///< Accepted; the engine is switching.
    already_so, ///< The engine already serves that stage.
    busy,       ///< Another order is in progress, or the precondition failed.
    fenced,     ///< The engine has seen a higher fencing token: the lease has a new holder.
    refused,    ///< Rejected for any other reason.
};

/// An engine's report on its stage orders.
struct order_report {
    bool is_under_way = false;
    std::uint64_t orders = 0; ///< Number accepted so far.

    bool operator==(const order_report&) const = default;
};

/// Stateless encoders and decoders of the platform's request protocol.
struct request_protocol {
    wire::expected<routed_request> (*read_request)(wire::http_request request) = nullptr;
    wire::http_request (*make_upstream_request)(const routed_request& request,
                                                const upstream_attempt& send) = nullptr;
    answer_facts (*read_answer)(const wire::response_head& head) = nullptr;
    wire::expected<std::string> (*read_handle)(const std::string& body) = nullptr;
    wire::http_request (*make_release)(const retained_prompt& prompt) = nullptr;
    wire::http_request (*make_report_request)(const base::upstream_id& engine,
                                              const std::string& address) = nullptr;
    wire::expected<order_report> (*read_report)(const std::string& body) = nullptr;
    wire::http_request (*make_held_prompts_request)(const base::upstream_id& engine,
                                                    const std::string& address) = nullptr;
    /// Decodes the keys of the prompts that an engine holds in memory.
    wire::expected<std::set<std::string>> (*read_held_prompts)(const std::string& body) = nullptr;
    wire::http_request (*make_stage_order)(const stage_order& order) = nullptr;
    order_answer (*read_order_answer)(int status) = nullptr;
};

} // namespace postpaddle::ports
