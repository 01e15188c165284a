// SPDX-License-Identifier: BSD-2-Clause
#include <wire/host_list_client.h>

#include <base/json_parser.h>
#include <wire/http_client.h>

#include <base/try.h>

#include <nlohmann/json.hpp>

#include <optional>

namespace postpaddle::wire {

namespace {

using json = nlohmann::json;

/// Timeout for the response's head, and for each further part of the list.
constexpr auto request_timeout = std::chrono::milliseconds(2000);
constexpr int ok_status = 200;

/// Nothing if the entry can't be read, which costs only this host.
std::optional<listed_host> decode_host(const json& item) {
    try {
        return listed_host{item.at("name").get<std::string>(), item.at("peers_address").get<std::string>(),
                           item.value("leaving", false)};
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace

host_list_client::host_list_client(asio::io_context& context, std::string address)
    : pool(context, response_bounds{}), address(std::move(address)) {}

expected<host_list> host_list_client::read(yield_context yield) {
    POSTPADDLE_TRY(response,
                   fetch_large(this->pool, this->address, get_request("/hosts"),
                               {.head_timeout = request_timeout, .stall_timeout = request_timeout}, yield));
    if (response.status != ok_status)
        return tl::make_unexpected(wire_error{wire_failure::refused, std::to_string(response.status)});
    const json parsed = base::parse_json_replacing(response.body);
    try {
        host_list list;
        for (const json& item : parsed.at("hosts"))
            if (auto host = decode_host(item))
                list.hosts.push_back(std::move(*host));
        for (const json& item : parsed.at("leaving_upstreams"))
            if (item.is_string())
                list.leaving_upstreams.push_back(item.get<std::string>());
        return list;
    } catch (const json::exception& error) {
        return tl::make_unexpected(wire_error{wire_failure::malformed, error.what()});
    }
}

expected<void> host_list_client::register_host(const listed_host& host, yield_context yield) {
    const json body = {
        {"name", host.name}, {"peers_address", host.peers_address}, {"leaving", host.is_leaving}};
    POSTPADDLE_TRY(response, fetch(this->pool, this->address, json_request("/hosts", body.dump()),
                                   request_timeout, yield));
    if (response.status != ok_status)
        return tl::make_unexpected(wire_error{wire_failure::refused, std::to_string(response.status)});
    return {};
}

} // namespace postpaddle::wire
