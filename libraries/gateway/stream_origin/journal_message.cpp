// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/stream_origin/journal_message.h>

#include <base/json_parser.h>

#include <nlohmann/json.hpp>

namespace postpaddle::gateway {

namespace {

using nlohmann::json;

constexpr int last_kind = static_cast<int>(journal_message_kind::unavailable);

json encode_origin(const host::stream_origin& origin) { return {origin.service, origin.software_version}; }

host::stream_origin decode_origin(const json& value) {
    return {.service = value.at(0).get<std::string>(), .software_version = value.at(1).get<std::string>()};
}

json encode_findings(const host::journal_findings& findings) {
    json by_id = json::array();
    if (findings.by_id)
        by_id.push_back(encode_origin(*findings.by_id));
    json by_content = json::array();
    for (const host::stream_origin& origin : findings.by_content)
        by_content.push_back(encode_origin(origin));
    return {by_id, by_content};
}

host::journal_findings decode_findings(const json& value) {
    host::journal_findings findings;
    if (!value.at(0).empty())
        findings.by_id = decode_origin(value.at(0).at(0));
    for (const json& origin : value.at(1))
        findings.by_content.insert(decode_origin(origin));
    return findings;
}

/// A question needs a record for its keys, findings their own part.
bool is_complete(const journal_message& message) {
    switch (message.kind) {
    case journal_message_kind::record:
    case journal_message_kind::question:
        return !message.records.empty();
    case journal_message_kind::findings:
        return message.findings.has_value();
    case journal_message_kind::written:
    case journal_message_kind::unavailable:
        return true;
    }
    return false;
}

} // namespace

std::string encode_journal_message(const journal_message& message) {
    json value = {static_cast<int>(message.kind), message.from.value, message.number, nullptr, nullptr};
    if (!message.records.empty()) {
        const std::string batch = host::encode_journal_batch(message.records);
        value[3] = json::binary_t(std::vector<std::uint8_t>(batch.begin(), batch.end()));
    }
    if (message.findings)
        value[4] = encode_findings(*message.findings);
    std::string bytes;
    json::to_msgpack(value, bytes);
    return bytes;
}

std::optional<journal_message> decode_journal_message(std::string_view bytes) {
    try {
        const json value = base::parse_msgpack(bytes);
        const int kind = value.at(0).get<int>();
        if (kind < 0 || kind > last_kind)
            return std::nullopt;
        journal_message message{.kind = static_cast<journal_message_kind>(kind),
                                .from = {value.at(1).get<std::string>()},
                                .number = value.at(2).get<std::uint64_t>()};
        if (value.at(3).is_binary()) {
            const auto& batch = value.at(3).get_binary();
            auto records = host::decode_journal_batch(std::string(batch.begin(), batch.end()));
            if (!records)
                return std::nullopt;
            message.records = std::move(*records);
        }
        if (value.at(4).is_array())
            message.findings = decode_findings(value.at(4));
        if (message.from.is_empty() || !is_complete(message))
            return std::nullopt;
        return message;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace postpaddle::gateway
