// SPDX-License-Identifier: BSD-2-Clause
#include <service/peer_codec.h>

#include <base/json_parser.h>
#include <host/quarantine_codec.h>

#include <algorithm>

namespace postpaddle::service {

namespace {

constexpr int max_liveness = static_cast<int>(host::liveness::left);
constexpr int max_verdict = static_cast<int>(host::claim_verdict::pending);
constexpr int max_outcome = static_cast<int>(host::claim_outcome::not_run);

host::member parse_member(const json& value) {
    host::member member;
    member.name.value = value.at("n").get<std::string>();
    member.peers_address = value.at("p").get<std::string>();
    member.operators_address = value.at("o").get<std::string>();
    member.zone.value = value.at("z").get<std::string>();
    member.incarnation = value.at("i").get<std::uint64_t>();
    member.version = value.at("v").get<std::uint64_t>();
    member.life = static_cast<host::liveness>(std::clamp(value.at("l").get<int>(), 0, max_liveness));
    member.is_draining = value.at("d").get<bool>();
    member.settings_offset = value.at("so").get<std::uint64_t>();
    member.settings_revision = value.at("sr").get<std::uint64_t>();
    return member;
}

json to_json(const decision::load_report& report) {
    return {report.active_decodes, report.waiting_decodes, report.decode_slots, report.queued_prompt_tokens,
            report.is_draining};
}

decision::load_report parse_load_report(const json& value) {
    return {value.at(0), value.at(1), value.at(2), value.at(3), value.at(4)};
}

host::claim_outcome parse_outcome(const json& value) {
    return static_cast<host::claim_outcome>(std::clamp(value.get<int>(), 0, max_outcome));
}

/// Parses a message; empty if it is malformed.
template <class Message, class Read> std::optional<Message> decode_with(const std::string& text, Read read) {
    const json parsed = base::parse_json(text);
    if (!parsed.is_object())
        return std::nullopt;
    try {
        return read(parsed);
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace

json to_json(const host::member& member) {
    return {{"n", member.name.value},
            {"p", member.peers_address},
            {"o", member.operators_address},
            {"z", member.zone.value},
            {"i", member.incarnation},
            {"v", member.version},
            {"l", static_cast<int>(member.life)},
            {"d", member.is_draining},
            {"so", member.settings_offset},
            {"sr", member.settings_revision}};
}

std::string encode(const gossip_message& message, base::time_point now) {
    json members = json::array();
    for (const host::member& member : message.members)
        members.push_back(to_json(member));
    return json{{"members", members},
                {"log_age_ms", message.log_age_ms},
                {"suspects", host::encode_reports(message.suspects, now)}}
        .dump();
}

std::string encode(const share_request& message) {
    return json{{"host", message.host}, {"demands", message.demands}}.dump();
}

std::string encode(const share_response& message) {
    json loads = json::object();
    for (const auto& [upstream, load] : message.loads)
        loads[upstream] = {to_json(load.report), load.age_ms};
    return json{{"shares", message.shares}, {"loads", loads}}.dump();
}

std::string encode(const claim_request& message) {
    json claims = json::array();
    for (const timed_claim& item : message.claims)
        claims.push_back({item.claim.key, item.claim.body, item.claim.request, item.key_milliseconds});
    json ends = json::array();
    for (const host::claim_end& item : message.ends)
        ends.push_back({item.key, item.request, static_cast<int>(item.outcome)});
    return json{{"partition", message.partition}, {"claims", claims}, {"ends", ends}}.dump();
}

std::string encode(const std::vector<host::claim_resolution>& answers) {
    json items = json::array();
    for (const host::claim_resolution& answer : answers)
        items.push_back({static_cast<int>(answer.verdict), static_cast<int>(answer.outcome), answer.winner});
    return json{{"answers", items}}.dump();
}

std::optional<gossip_message> decode_gossip(const std::string& text, base::time_point now) {
    return decode_with<gossip_message>(text, [now](const json& parsed) {
        gossip_message message;
        for (const json& item : parsed.at("members"))
            message.members.push_back(parse_member(item));
        message.log_age_ms = parsed.at("log_age_ms").get<std::int64_t>();
        // Absent in messages from hosts of earlier versions.
        if (parsed.contains("suspects"))
            message.suspects = host::decode_reports(parsed["suspects"], now);
        return message;
    });
}

std::optional<share_request> decode_share_request(const std::string& text) {
    return decode_with<share_request>(text, [](const json& parsed) {
        return share_request{parsed.at("host").get<std::string>(),
                             parsed.at("demands").get<std::map<std::string, double>>()};
    });
}

std::optional<share_response> decode_share_response(const std::string& text) {
    return decode_with<share_response>(text, [](const json& parsed) {
        share_response message;
        message.shares = parsed.at("shares").get<std::map<std::string, double>>();
        for (const auto& [upstream, load] : parsed.at("loads").items())
            message.loads[upstream] = {parse_load_report(load.at(0)), load.at(1).get<std::int64_t>()};
        return message;
    });
}

std::optional<claim_request> decode_claim_request(const std::string& text) {
    return decode_with<claim_request>(text, [](const json& parsed) {
        claim_request message;
        message.partition = parsed.at("partition").get<int>();
        for (const json& item : parsed.at("claims"))
            message.claims.push_back({{item.at(0), item.at(1), item.at(2)}, item.at(3)});
        for (const json& item : parsed.at("ends"))
            message.ends.push_back({item.at(0), item.at(1), parse_outcome(item.at(2))});
        return message;
    });
}

std::optional<std::vector<host::claim_resolution>> decode_claim_resolutions(const std::string& text) {
    return decode_with<std::vector<host::claim_resolution>>(text, [](const json& parsed) {
        std::vector<host::claim_resolution> answers;
        for (const json& item : parsed.at("answers")) {
            const int verdict = std::clamp(item.at(0).get<int>(), 0, max_verdict);
            answers.push_back({static_cast<host::claim_verdict>(verdict), parse_outcome(item.at(1)),
                               item.at(2).get<std::string>()});
        }
        return answers;
    });
}

} // namespace postpaddle::service
