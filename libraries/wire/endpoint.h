// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <wire/asio.h>
#include <wire/wire_error.h>

#include <string>

namespace postpaddle::wire {

/// Parses an IP address and port, such as `127.0.0.1:80` or `[::1]:80`.
[[nodiscard]] expected<asio::ip::tcp::endpoint> parse_endpoint(const std::string& text);

/// Formats an endpoint the way `parse_endpoint` reads it.
[[nodiscard]] std::string to_text(const asio::ip::tcp::endpoint& endpoint);

} // namespace postpaddle::wire
