// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace postpaddle::wire {

/// Estimated size of the head of a control message, for traffic metrics.
inline constexpr std::size_t http_head_bytes = 160;

struct http_header {
    std::string name;
    std::string value;

    bool operator==(const http_header&) const = default;
};

using http_headers = std::vector<http_header>;

/// Returns the value of the first field with that name, ignoring case, or an empty view.
[[nodiscard]] std::string_view find_header(const http_headers& headers, std::string_view name);

/// Whether a header field can be written as one: its name is a token, and its value has no control character
/// but tabs.
/// Source: RFC 9110, section 5.
[[nodiscard]] bool is_field(const http_header& header);

/// Removes hop-by-hop fields and fields that frame the body.
/// Source: RFC 9110, section 7.6.1, and RFC 9112, section 6.
void remove_connection_headers(http_headers& headers);

/// Whether a status code is in the 2xx class (RFC 9110, section 15.3).
[[nodiscard]] constexpr bool is_success(int status) {
    constexpr int first_success = 200;
    constexpr int first_redirection = 300;
    return status >= first_success && status < first_redirection;
}

struct http_request {
    std::string method;
    std::string target;
    http_headers headers;
    std::string body;

    bool operator==(const http_request&) const = default;
};

/// Whether a request can be written as one: its method is a token, its target has neither a blank nor a
/// control character, and its fields are some. What is no such request would begin another one for its
/// reader. Source: RFC 9112, sections 3 and 11.1.
[[nodiscard]] bool is_sendable(const http_request& request);

struct http_response {
    int status = 0;
    http_headers headers;
    std::string body;

    bool operator==(const http_response&) const = default;
};

/// Status and headers of a response whose body is streamed.
struct response_head {
    int status = 0;
    http_headers headers;

    bool operator==(const response_head&) const = default;
};

} // namespace postpaddle::wire
