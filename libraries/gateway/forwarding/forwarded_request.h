// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/identifier.h>
#include <decision/retry_payment.h>
#include <host/request_fingerprint.h>
#include <wire/http_message.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Requests that one host forwards to another, because it can't reach their service.
///
/// The receiving host serves such a request like one of its own callers', but for what the first host has
/// settled already: the caller's identity, its limit, and the time that has passed. It never forwards again.
namespace postpaddle::gateway {

/// Path under which hosts receive forwarded requests.
inline constexpr const char* forwarding_path = "/peers/forward";

/// A request with what the first host knows of it.
struct forwarded_request {
    base::host_id from;
    std::uint64_t settings_version = 0;   ///< In force there; the receiver must use the same.
    std::string service;                  ///< Drawn among the services of the route.
    base::organisation_id organisation{}; ///< Owner of the caller's key; empty if the route needs none.
    host::request_fingerprint fingerprint{};
    std::chrono::milliseconds time_left{};       ///< Until the deadline.
    std::chrono::milliseconds since_first_try{}; ///< Since the client's first attempt, as estimated.
    std::optional<std::uint64_t> resume_after{}; ///< Last event that the caller has received.
    int max_attempts = 1;                        ///< Upstreams that may run it.
    int accepted_prompts = 0;                    ///< Prompts that engines may have processed.
    decision::arrival_account arrivals{};        ///< At upstreams, so far.
    int paid_retries = 0;                        ///< Retries that the first host has paid for.
    std::string software_version{}; ///< That began the stream which the request continues; empty: none did.
    std::uint32_t journal_revisions = 0; ///< Records that the stream journal may have of the attempt.
    /// What the first host knows of upstreams that ended while they ran the request, see `encode_suspects`.
    std::string suspects{};
    wire::http_request message; ///< As the caller sent it, without its key.

    bool operator==(const forwarded_request&) const = default;
};

/// Encodes as MessagePack.
[[nodiscard]] std::string encode_forwarded(const forwarded_request& request);

/// Returns nothing if the bytes are malformed.
[[nodiscard]] std::optional<forwarded_request> decode_forwarded(std::string_view bytes);

/// What a host says of a request that was forwarded to it.
enum class forwarding_outcome {
    answered,       ///< An upstream's answer follows.
    refused,        ///< It has not run, and no other host would do better now; the answer is for the caller.
    may_have_run,   ///< An upstream may have run it, and there is no answer.
    unreachable,    ///< It has not run: this host can't reach the service either.
    unavailable,    ///< It has not run: this host takes no such request now, for another reason.
    other_settings, ///< It has not run: this host has other settings in force.
};

/// Whether the request has certainly not run and may go to another host.
[[nodiscard]] constexpr bool may_go_elsewhere(forwarding_outcome outcome) {
    return outcome == forwarding_outcome::unreachable || outcome == forwarding_outcome::unavailable ||
           outcome == forwarding_outcome::other_settings;
}

[[nodiscard]] const char* to_text(forwarding_outcome outcome);

/// What the receiving host adds to the head of its answer.
struct forwarding_label {
    forwarding_outcome outcome = forwarding_outcome::unavailable;
    int attempts = 0;               ///< Upstreams that may have run the request so far.
    std::string software_version{}; ///< Of the upstream whose stream follows; empty if unknown.
    /// What the receiving host knows of upstreams that ended while they ran the request, see
    /// `encode_suspects`.
    std::string suspects{};
    std::optional<decision::told_arrivals>
        arrivals{}; ///< Unset by hosts of earlier versions, and if it isn't known.

    bool operator==(const forwarding_label&) const = default;
};

/// Sets the label; replaces one of the same name that came from an upstream.
void set_forwarding_label(wire::http_headers& headers, const forwarding_label& label);

/// Removes the label and returns it. A head without one comes from a host that does not know forwarding,
/// which has not run the request, unless it reports an error of its own.
[[nodiscard]] forwarding_label take_forwarding_label(wire::response_head& head);

} // namespace postpaddle::gateway
