// SPDX-License-Identifier: BSD-2-Clause
#include <wire/http_message.h>

#include <base/text_check.h>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>

namespace postpaddle::wire {

namespace {

/// Fields that are removed whether or not `Connection` lists them.
constexpr std::array<const char*, 10> connection_headers = {
    "Connection",        "Keep-Alive",     "Proxy-Connection",  "TE", "Trailer", "Upgrade", "Expect",
    "Transfer-Encoding", "Content-Length", "Proxy-Authenticate"};

bool is_connection_header(const std::string& name, const std::vector<std::string>& named) {
    const auto is_name = [&name](const auto& other) { return boost::algorithm::iequals(name, other); };
    return std::ranges::any_of(connection_headers, is_name) || std::ranges::any_of(named, is_name);
}

bool is_token(std::string_view text) {
    static constexpr std::string_view token_characters =
        "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";
    return !text.empty() && text.find_first_not_of(token_characters) == std::string_view::npos;
}

bool is_target(std::string_view text) {
    return !text.empty() && text.find(' ') == std::string_view::npos && !base::has_control_character(text);
}

} // namespace

bool is_field(const http_header& header) {
    return is_token(header.name) && std::ranges::none_of(header.value, [](char character) {
               return character != '\t' && base::is_control_character(character);
           });
}

bool is_sendable(const http_request& request) {
    return is_token(request.method) && is_target(request.target) &&
           std::ranges::all_of(request.headers, is_field);
}

void remove_connection_headers(http_headers& headers) {
    std::vector<std::string> named;
    for (const http_header& header : headers) {
        if (!boost::algorithm::iequals(header.name, "Connection"))
            continue;
        for (const auto token : boost::beast::http::token_list(header.value))
            named.emplace_back(token);
    }
    std::erase_if(headers,
                  [&named](const http_header& header) { return is_connection_header(header.name, named); });
}

std::string_view find_header(const http_headers& headers, std::string_view name) {
    for (const http_header& header : headers)
        if (boost::algorithm::iequals(header.name, name))
            return header.value;
    return {};
}

} // namespace postpaddle::wire
