// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <decision/load_report.h>
#include <host/claim_table.h>
#include <host/membership.h>
#include <host/quarantine.h>

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

/// JSON encoding of the messages between hosts.
namespace postpaddle::service {

using json = nlohmann::json;

/// Payload of a probe and of its response: membership updates, the sender's contact with the log and suspect
/// reports.
struct gossip_message {
    std::vector<host::member> members;
    std::int64_t log_age_ms = 0;                  ///< Time since the log last responded to the sender.
    std::vector<host::suspect_report> suspects{}; ///< Requests under which upstreams exited.

    bool operator==(const gossip_message&) const = default;
};

/// Request for shares of keys that the receiver owns.
struct share_request {
    std::string host;
    std::map<std::string, double> demands; ///< By key.

    bool operator==(const share_request&) const = default;
};

/// An upstream's load as last received by its owner.
struct shared_load {
    decision::load_report report;
    std::int64_t age_ms = 0;

    bool operator==(const shared_load&) const = default;
};

/// The owner's response to a `share_request`.
struct share_response {
    std::map<std::string, double> shares;
    std::map<std::string, shared_load> loads; ///< By upstream; absent if the load is not known.

    bool operator==(const share_response&) const = default;
};

/// A claim and the creation time of its key.
struct timed_claim {
    host::claim claim;
    std::int64_t key_milliseconds = 0;

    bool operator==(const timed_claim&) const = default;
};

/// Claims and outcomes sent to the owner of a claims partition.
struct claim_request {
    int partition = 0;
    std::vector<timed_claim> claims;
    std::vector<host::claim_end> ends;

    bool operator==(const claim_request&) const = default;
};

/// Times are encoded as ages relative to `now`.
[[nodiscard]] std::string encode(const gossip_message& message, base::time_point now);
[[nodiscard]] std::string encode(const share_request& message);
[[nodiscard]] std::string encode(const share_response& message);
[[nodiscard]] std::string encode(const claim_request& message);
[[nodiscard]] std::string encode(const std::vector<host::claim_resolution>& answers);

[[nodiscard]] std::optional<gossip_message> decode_gossip(const std::string& text, base::time_point now);
[[nodiscard]] std::optional<share_request> decode_share_request(const std::string& text);
[[nodiscard]] std::optional<share_response> decode_share_response(const std::string& text);
[[nodiscard]] std::optional<claim_request> decode_claim_request(const std::string& text);
[[nodiscard]] std::optional<std::vector<host::claim_resolution>>
decode_claim_resolutions(const std::string& text);

/// Converts a member to JSON for gossip and for the state dump.
[[nodiscard]] json to_json(const host::member& member);

} // namespace postpaddle::service
