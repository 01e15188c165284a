// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/forwarding/forwarded_request.h>

#include <base/json_parser.h>

#include <boost/algorithm/string/predicate.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace postpaddle::gateway {

namespace {

using nlohmann::json;

constexpr const char* outcome_header = "Postpaddle-Forwarding";
constexpr const char* attempts_header = "Postpaddle-Forwarding-Attempts";
constexpr const char* version_header = "Postpaddle-Forwarding-Software-Version";
constexpr const char* suspects_header = "Postpaddle-Forwarding-Suspects";
constexpr const char* arrivals_header = "Postpaddle-Forwarding-Arrivals";
constexpr int first_server_error = 500;

constexpr std::array all_outcomes = {forwarding_outcome::answered,     forwarding_outcome::refused,
                                     forwarding_outcome::may_have_run, forwarding_outcome::unreachable,
                                     forwarding_outcome::unavailable,  forwarding_outcome::other_settings};

void erase_header(wire::http_headers& headers, const char* name) {
    std::erase_if(headers,
                  [name](const auto& header) { return boost::algorithm::iequals(header.name, name); });
}

void erase_label(wire::http_headers& headers) {
    for (const char* const name :
         {outcome_header, attempts_header, version_header, suspects_header, arrivals_header})
        erase_header(headers, name);
}

json encode_message(const wire::http_request& message) {
    json headers = json::array();
    for (const wire::http_header& header : message.headers)
        headers.push_back({header.name, header.value});
    return {message.method, message.target, std::move(headers), message.body};
}

wire::http_request decode_message(const json& value) {
    wire::http_request message{.method = value.at(0).get<std::string>(),
                               .target = value.at(1).get<std::string>(),
                               .headers = {},
                               .body = value.at(3).get<std::string>()};
    for (const json& header : value.at(2))
        message.headers.push_back({header.at(0).get<std::string>(), header.at(1).get<std::string>()});
    return message;
}

int parse_attempts(std::string_view text) {
    int attempts = 0;
    (void)std::from_chars(text.data(), text.data() + text.size(), attempts);
    return std::max(0, attempts);
}

/// Formats as `3,1,0`: arrivals that count, whether a prompt has been read, unused retries.
std::string encode_arrivals(const decision::told_arrivals& told) {
    return std::to_string(told.account.counted) + ',' + (told.account.is_prompt_read ? '1' : '0') + ',' +
           std::to_string(told.unused_retries);
}

/// Returns nothing if the text is malformed.
std::optional<decision::told_arrivals> decode_arrivals(std::string_view text) {
    std::array<int, 3> values{};
    const char* next = text.data();
    const char* const end = text.data() + text.size();
    for (std::size_t index = 0; index < values.size(); ++index) {
        if (index > 0 && (next == end || *next++ != ','))
            return std::nullopt;
        const auto parsed = std::from_chars(next, end, values.at(index));
        if (parsed.ec != std::errc() || values.at(index) < 0)
            return std::nullopt;
        next = parsed.ptr;
    }
    if (next != end)
        return std::nullopt;
    return decision::told_arrivals{.account = {.counted = values[0], .is_prompt_read = values[1] != 0},
                                   .unused_retries = values[2]};
}

} // namespace

std::string encode_forwarded(const forwarded_request& request) {
    const json value = {request.from.value,
                        request.settings_version,
                        request.service,
                        request.organisation.value,
                        request.fingerprint.high,
                        request.fingerprint.low,
                        request.time_left.count(),
                        request.since_first_try.count(),
                        request.resume_after ? json(*request.resume_after) : json(),
                        request.max_attempts,
                        request.accepted_prompts,
                        encode_message(request.message),
                        request.software_version,
                        request.suspects,
                        request.journal_revisions,
                        {request.arrivals.counted, request.arrivals.is_prompt_read, request.paid_retries}};
    std::string bytes;
    json::to_msgpack(value, bytes);
    return bytes;
}

std::optional<forwarded_request> decode_forwarded(std::string_view bytes) {
    try {
        const json value = base::parse_msgpack(bytes);
        forwarded_request request{
            .from = {value.at(0).get<std::string>()},
            .settings_version = value.at(1).get<std::uint64_t>(),
            .service = value.at(2).get<std::string>(),
            .organisation = {value.at(3).get<std::string>()},
            .fingerprint = {value.at(4).get<std::uint64_t>(), value.at(5).get<std::uint64_t>()},
            .time_left = std::chrono::milliseconds(value.at(6).get<std::uint32_t>()),
            .since_first_try = std::chrono::milliseconds(value.at(7).get<std::uint32_t>()),
            .max_attempts = value.at(9).get<int>(),
            .accepted_prompts = value.at(10).get<int>(),
            .message = decode_message(value.at(11))};
        if (!value.at(8).is_null())
            request.resume_after = value.at(8).get<std::uint64_t>();
        // Hosts of earlier versions send none or only the first of these.
        request.arrivals.is_prompt_read = request.accepted_prompts > 0;
        static constexpr std::size_t version_field = 12;
        static constexpr std::size_t suspects_field = 13;
        static constexpr std::size_t journal_field = 14;
        static constexpr std::size_t arrivals_field = 15;
        if (value.size() > version_field)
            request.software_version = value.at(version_field).get<std::string>();
        if (value.size() > suspects_field)
            request.suspects = value.at(suspects_field).get<std::string>();
        if (value.size() > journal_field)
            request.journal_revisions = value.at(journal_field).get<std::uint32_t>();
        if (value.size() > arrivals_field) {
            const json& arrivals = value.at(arrivals_field);
            request.arrivals = {.counted = arrivals.at(0).get<int>(),
                                .is_prompt_read = arrivals.at(1).get<bool>()};
            request.paid_retries = arrivals.at(2).get<int>();
        }
        if (request.from.is_empty() || request.max_attempts < 1 || request.accepted_prompts < 0 ||
            request.arrivals.counted < 0 || request.paid_retries < 0)
            return std::nullopt;
        return request;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

const char* to_text(forwarding_outcome outcome) {
    switch (outcome) {
    case forwarding_outcome::answered:
        return "answered";
    case forwarding_outcome::refused:
        return "refused";
    case forwarding_outcome::may_have_run:
        return "may_have_run";
    case forwarding_outcome::unreachable:
        return "unreachable";
    case forwarding_outcome::unavailable:
        return "unavailable";
    case forwarding_outcome::other_settings:
        return "other_settings";
    }
    return "unknown";
}

void set_forwarding_label(wire::http_headers& headers, const forwarding_label& label) {
    erase_label(headers);
    if (!label.software_version.empty())
        headers.push_back({version_header, label.software_version});
    if (!label.suspects.empty())
        headers.push_back({suspects_header, label.suspects});
    headers.push_back({outcome_header, to_text(label.outcome)});
    headers.push_back({attempts_header, std::to_string(label.attempts)});
    if (label.arrivals)
        headers.push_back({arrivals_header, encode_arrivals(*label.arrivals)});
}

forwarding_label take_forwarding_label(wire::response_head& head) {
    const std::string text(wire::find_header(head.headers, outcome_header));
    const int attempts = parse_attempts(wire::find_header(head.headers, attempts_header));
    const std::string version(wire::find_header(head.headers, version_header));
    const std::string suspects(wire::find_header(head.headers, suspects_header));
    const auto arrivals = decode_arrivals(wire::find_header(head.headers, arrivals_header));
    erase_label(head.headers);
    for (const forwarding_outcome outcome : all_outcomes)
        if (text == to_text(outcome))
            return {.outcome = outcome,
                    .attempts = attempts,
                    .software_version = version,
                    .suspects = suspects,
                    .arrivals = arrivals};
    return {.outcome = head.status < first_server_error ? forwarding_outcome::unavailable
                                                        : forwarding_outcome::may_have_run};
}

} // namespace postpaddle::gateway
