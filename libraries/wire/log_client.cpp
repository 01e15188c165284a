// SPDX-License-Identifier: BSD-2-Clause
#include <wire/log_client.h>

#include <base/json_parser.h>
#include <wire/http_client.h>
#include <wire/request_target.h>

#include <base/try.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace postpaddle::wire {

namespace {

using json = nlohmann::json;

constexpr int ok_status = 200;
/// Added to the wait for a read's response head, and timeout for each further part of it.
constexpr auto read_margin = std::chrono::milliseconds(1000);
constexpr std::uint64_t max_records = 256;

expected<json> parse_json_response(const http_response& response) {
    if (response.status != ok_status)
        return tl::make_unexpected(wire_error{wire_failure::refused, std::to_string(response.status)});
    json parsed = base::parse_json_replacing(response.body);
    if (!parsed.is_object())
        return tl::make_unexpected(wire_error{wire_failure::malformed, "log answer is not JSON"});
    return parsed;
}

/// The payload of a record. One that can't be read becomes empty, which no reader of payloads accepts.
std::string payload_of(const json& record) {
    const bool is_readable = record.contains("payload") && record["payload"].is_string();
    return is_readable ? record["payload"].get<std::string>() : std::string();
}

} // namespace

log_client::log_client(asio::io_context& context, std::string address)
    : pool(context, response_bounds{}), address(std::move(address)) {}

expected<std::uint64_t> log_client::append(const std::string& stream, const std::string& payload,
                                           std::chrono::milliseconds timeout, yield_context yield) {
    ++this->append_count;
    // A retry after a stale connection could append twice, so appends only use new connections.
    const auto request =
        json_request(make_target({.path = {"streams", stream, "append"}}), json{{"payload", payload}}.dump());
    this->traffic += request.body.size() + 2 * http_head_bytes;
    POSTPADDLE_TRY(response,
                   fetch(this->pool, this->address, request, timeout, yield, connection_use::only_new));
    this->traffic += response.body.size();
    POSTPADDLE_TRY(parsed, parse_json_response(response));
    try {
        return parsed.at("offset").get<std::uint64_t>();
    } catch (const json::exception& error) {
        return tl::make_unexpected(wire_error{wire_failure::malformed, error.what()});
    }
}

expected<log_page> log_client::read(const std::string& stream, std::uint64_t from,
                                    std::chrono::milliseconds wait, yield_context yield) {
    const auto request = get_request(make_target(
        {.path = {"streams", stream, "records"},
         .query = {
             {"from", from}, {"max", max_records}, {"wait_ms", static_cast<std::uint64_t>(wait.count())}}}));
    this->traffic += 2 * http_head_bytes;
    POSTPADDLE_TRY(response,
                   fetch_large(this->pool, this->address, request,
                               {.head_timeout = wait + read_margin, .stall_timeout = read_margin}, yield));
    this->traffic += response.body.size();
    POSTPADDLE_TRY(parsed, parse_json_response(response));
    try {
        log_page page;
        page.earliest = parsed.at("earliest").get<std::uint64_t>();
        page.next = parsed.at("next").get<std::uint64_t>();
        for (const json& record : parsed.at("records"))
            page.records.push_back({record.at("offset").get<std::uint64_t>(), payload_of(record)});
        const auto is_older = [from](const log_record& record) { return record.offset < from; };
        if (std::ranges::any_of(page.records, is_older))
            return tl::make_unexpected(wire_error{wire_failure::malformed, "log page does not move on"});
        return page;
    } catch (const json::exception& error) {
        return tl::make_unexpected(wire_error{wire_failure::malformed, error.what()});
    }
}

} // namespace postpaddle::wire
