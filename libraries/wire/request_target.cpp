// SPDX-License-Identifier: BSD-2-Clause
#include <wire/request_target.h>

#include <curl/curl.h>

#include <algorithm>
#include <memory>
#include <new>

namespace postpaddle::wire {

namespace {

using curl_text = std::unique_ptr<char, decltype(&curl_free)>;

std::string encode(const std::string& text) {
    // To the library, a length of 0 means that the text ends at its first NUL.
    if (text.empty())
        return {};
    const curl_text encoded(curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size())), curl_free);
    if (!encoded)
        throw std::bad_alloc();
    return encoded.get();
}

std::string decode(std::string text) {
    if (text.empty())
        return {};
    std::ranges::replace(text, '+', ' ');
    int length = 0;
    const curl_text decoded(curl_easy_unescape(nullptr, text.data(), static_cast<int>(text.size()), &length),
                            curl_free);
    if (!decoded)
        throw std::bad_alloc();
    return {decoded.get(), static_cast<std::size_t>(length)};
}

std::string encode_value(const target_parameter& parameter) {
    if (const auto* const number = std::get_if<std::uint64_t>(&parameter.value))
        return std::to_string(*number);
    return encode(std::get<std::string>(parameter.value));
}

} // namespace

std::string make_target(const target_parts& parts) {
    std::string target;
    for (const std::string& segment : parts.path)
        target += '/' + encode(segment);
    char separator = '?';
    for (const target_parameter& parameter : parts.query) {
        target += separator + encode(parameter.name) + '=' + encode_value(parameter);
        separator = '&';
    }
    return target;
}

std::string find_parameter(std::string_view target, std::string_view name) {
    const auto query_start = target.find('?');
    if (query_start == std::string_view::npos)
        return {};
    std::string_view query = target.substr(query_start + 1);
    while (!query.empty()) {
        const std::string_view field = query.substr(0, query.find('&'));
        const auto equals = std::min(field.find('='), field.size());
        if (decode(std::string(field.substr(0, equals))) == name)
            return decode(std::string(field.substr(std::min(equals + 1, field.size()))));
        query.remove_prefix(std::min(field.size() + 1, query.size()));
    }
    return {};
}

bool is_path_segment(std::string_view text) { return !text.empty() && text != "." && text != ".."; }

} // namespace postpaddle::wire
