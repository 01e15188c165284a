// SPDX-License-Identifier: BSD-2-Clause
#include <wire/authorization.h>

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>

namespace postpaddle::wire {

namespace {

/// Bounds the work of hashing a key for each request.
constexpr std::size_t max_key_bytes = 512;

bool is_authorization(const http_header& header) {
    return boost::algorithm::iequals(header.name, authorization_header);
}

bool is_visible_ascii(char character) {
    static constexpr char first = '!';
    static constexpr char last = '~';
    return character >= first && character <= last;
}

} // namespace

std::optional<std::string_view> find_authorization_key(const http_headers& headers, std::string_view scheme) {
    if (std::ranges::count_if(headers, is_authorization) != 1)
        return std::nullopt;
    const std::string_view value = std::ranges::find_if(headers, is_authorization)->value;
    if (value.size() <= scheme.size() || value[scheme.size()] != ' ' ||
        !boost::algorithm::istarts_with(value, scheme))
        return std::nullopt;
    const std::string_view key = value.substr(scheme.size() + 1);
    if (key.empty() || key.size() > max_key_bytes || !std::ranges::all_of(key, is_visible_ascii))
        return std::nullopt;
    return key;
}

void remove_authorization(http_headers& headers) { std::erase_if(headers, is_authorization); }

} // namespace postpaddle::wire
