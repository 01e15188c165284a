// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <wire/http_message.h>

#include <optional>
#include <string_view>

namespace postpaddle::wire {

/// Header field with the caller's API key.
inline constexpr const char* authorization_header = "Authorization";

/// Returns the key of a message's `Authorization` field, as a view into `headers`. Returns nullopt if the
/// field is missing, duplicated, too long, uses another scheme, or isn't one token of visible ASCII
/// characters. Source: RFC 9110, section 11.6.2.
[[nodiscard]] std::optional<std::string_view> find_authorization_key(const http_headers& headers,
                                                                     std::string_view scheme);

/// Removes every `Authorization` field, so that keys are not forwarded to upstreams.
void remove_authorization(http_headers& headers);

} // namespace postpaddle::wire
