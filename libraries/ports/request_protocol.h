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

/// Interfaces, in the product's words, that a platform's adapter implements.
namespace postpaddle::ports {

/// A caller's request in the product's words.
struct routed_request {
    std::string id; ///< Of this attempt, as the caller named it.
    std::string host;
    std::optional<std::chrono::milliseconds> time_left; ///< How long the caller waits.
    std::optional<std::uint64_t> resume_after;          ///< Last event that the caller has.
    std::string prompt_key; ///< Names the prompt, alike in all tries of one caller.
    double prompt_tokens = 0;
    double output_tokens = 0;           ///< At most.
    double output_hint = 0;             ///< The caller's guess, often far off; 0 where it gives none.
    bool tells_tokens = false;          ///< Whether it names its token numbers.
    std::string key_hash;               ///< Of its caller's key; empty without a well-formed one.
    base::organisation_id organisation; ///< That the key belongs to; named to upstreams. Empty without one.
    wire::http_request message; ///< As the caller sent it, without what belongs to one connection only.
};

/// A prompt that an engine has read and keeps for a decode engine.
struct kept_prompt {
    base::upstream_id upstream;
    std::string address;
    std::string handle;

    bool operator==(const kept_prompt&) const = default;
};

/// What an upstream is asked to do.
enum class send_purpose {
    run,         ///< Answer the request.
    read_prompt, ///< Read the prompt and keep it.
};

/// One send of a request to one instance.
struct upstream_send {
    base::upstream_id instance{};
    send_purpose purpose = send_purpose::run;
    std::optional<std::chrono::milliseconds> time_left{};
    std::optional<kept_prompt> source{};         ///< Where the decode engine fetches the prompt's KV cache.
    std::optional<std::uint64_t> resume_after{}; ///< Event after which a stream goes on.
};

/// What the head of an upstream's answer says.
struct answer_facts {
    std::string request_id;         ///< Empty where it names none.
    bool is_not_run = false;        ///< The upstream's word that it did not run the request.
    bool is_other_instance = false; ///< Another instance has the address.
    bool is_genuine = false;        ///< Carries the upstream's seal and its own body.
    std::optional<decision::instance_load> load;
    std::optional<std::chrono::milliseconds> cold_remaining; ///< It is cold, for so long.
    std::optional<double> limit; ///< Requests a second that it takes from all hosts together.
    std::optional<std::chrono::milliseconds> rest; ///< It wants nothing from this host for so long.
    bool is_leaving = false;                       ///< It will end.
    bool has_unreadable_word = false;              ///< Names one of the three in a way that can't be read.
};

/// An order to an engine that it serve another stage.
struct stage_order {
    base::upstream_id engine;
    std::string address; ///< IP number and port.
    settings::engine_stage stage = settings::engine_stage::none;
    std::string holder;                ///< Of the lease under which it is given.
    std::uint64_t token = 0;           ///< Fencing token of that lease.
    std::uint64_t expected_orders = 0; ///< Orders that the engine has taken before; it takes no other then.

    bool operator==(const stage_order&) const = default;
};

/// What an engine says to an order.
enum class order_answer {
    taken,      ///< It changes its stage now.
    already_so, ///< It serves that stage.
    busy,       ///< Another order is under way, or was taken meanwhile.
    fenced,     ///< It has seen a higher token: the lease is another's.
    refused,    ///< Anything else; it was not taken.
};

/// What an engine tells of the orders it was given.
struct order_report {
    bool is_under_way = false;
    std::uint64_t orders = 0; ///< Taken so far.

    bool operator==(const order_report&) const = default;
};

/// How requests are spoken; pure translation.
struct request_protocol {
    wire::expected<routed_request> (*read_request)(wire::http_request request) = nullptr;
    wire::http_request (*make_send)(const routed_request& request, const upstream_send& send) = nullptr;
    answer_facts (*read_answer)(const wire::response_head& head) = nullptr;
    wire::expected<std::string> (*read_handle)(const std::string& body) = nullptr;
    wire::http_request (*make_release)(const kept_prompt& prompt) = nullptr;
    wire::http_request (*make_report_request)(const base::upstream_id& engine,
                                              const std::string& address) = nullptr;
    wire::expected<order_report> (*read_report)(const std::string& body) = nullptr;
    wire::http_request (*make_held_parts_request)(const base::upstream_id& engine,
                                                  const std::string& address) = nullptr;
    /// Keys of the prompts that an engine holds in its memory.
    wire::expected<std::set<std::string>> (*read_held_parts)(const std::string& body) = nullptr;
    wire::http_request (*make_stage_order)(const stage_order& order) = nullptr;
    order_answer (*read_order_answer)(int status) = nullptr;
};

} // namespace postpaddle::ports
